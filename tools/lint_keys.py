#!/usr/bin/env python3
"""Prints, for each source given, a key over all that its lint depends on.

The key covers the file, the project's headers that it includes directly or not,
and the linter's settings. Usage: lint_keys.py FILE...; one line "KEY FILE" each.
"""
import hashlib
import os
import re
import sys

INCLUDE = re.compile(rb'^\s*#\s*include\s+"([^"]+)"', re.MULTILINE)
ROOTS = ["", "schema/generated", "tests"]
known = {}


def included(path):
    """The headers that a file includes itself, as paths from the root."""
    if path not in known:
        with open(path, "rb") as source:
            text = source.read()
        found = []
        for name in INCLUDE.findall(text):
            name = name.decode()
            for root in [os.path.dirname(path)] + ROOTS:
                candidate = os.path.normpath(os.path.join(root, name))
                if os.path.exists(candidate):
                    found.append(candidate)
                    break
        known[path] = (hashlib.sha256(text).digest(), found)
    return known[path]


def key(path):
    seen = set()
    pending = [path]
    while pending:
        it = pending.pop()
        if it not in seen:
            seen.add(it)
            pending.extend(included(it)[1])
    total = hashlib.sha256()
    for it in [path] + sorted(seen - {path}):
        total.update(it.encode() + b"\0" + included(it)[0])
    with open(".clang-tidy", "rb") as settings:
        total.update(settings.read())
    return total.hexdigest()[:24]


for name in sys.argv[1:]:
    print(key(name), name)
