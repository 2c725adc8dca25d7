#!/usr/bin/env python3
"""Prints a cache key of each given source for the linter.

The key is a hash of the file, of the project's headers that it includes directly or
indirectly, and of the linter's settings. Usage: lint_keys.py FILE...; prints one line
"KEY FILE" per file.
"""
import hashlib
import os
import re
import sys

INCLUDE = re.compile(rb'^\s*#\s*include\s+"([^"]+)"', re.MULTILINE)
ROOTS = ["", "schema/generated", "tests"]
scanned_files = {}


def scan(path):
    """Returns the hash of a file and the headers that it includes directly, as paths from the root."""
    if path not in scanned_files:
        with open(path, "rb") as source:
            text = source.read()
        headers = []
        for name in INCLUDE.findall(text):
            name = name.decode()
            for root in [os.path.dirname(path)] + ROOTS:
                candidate = os.path.normpath(os.path.join(root, name))
                if os.path.exists(candidate):
                    headers.append(candidate)
                    break
        scanned_files[path] = (hashlib.sha256(text).digest(), headers)
    return scanned_files[path]


def cache_key(path):
    visited = set()
    pending = [path]
    while pending:
        it = pending.pop()
        if it not in visited:
            visited.add(it)
            pending.extend(scan(it)[1])
    digest = hashlib.sha256()
    for it in [path] + sorted(visited - {path}):
        digest.update(it.encode() + b"\0" + scan(it)[0])
    with open(".clang-tidy", "rb") as settings:
        digest.update(settings.read())
    return digest.hexdigest()[:24]


for name in sys.argv[1:]:
    print(cache_key(name), name)
