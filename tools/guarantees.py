"""Checks that the tests named in docs/GUARANTEES.md passed in the last test run."""

import argparse
import os
import re
import sys
import xml.etree.ElementTree as ElementTree


def named_tests(page):
    """The names in backticks in the "tests" column of each table."""
    names = set()
    column = None
    with open(page, encoding="utf-8") as lines:
        for line in lines:
            cells = [it.strip() for it in line.split("|")]
            if "tests" in cells:
                column = cells.index("tests")
            elif column is not None and len(cells) > column:
                names.update(re.findall(r"`([a-z_]+)`", cells[column]))
    return names


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    options = parser.parse_args()
    root = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..")
    report = os.path.join(options.build, "ctest.xml")
    if not os.path.exists(report):
        print(f"{report} does not exist: run tools/test.sh first")
        return 1
    cases = ElementTree.parse(report).getroot().findall("testcase")
    passed = {it.get("name") for it in cases if it.get("status") == "run"}
    names = named_tests(os.path.join(root, "docs", "GUARANTEES.md"))
    missing = sorted(names - passed)
    for it in missing:
        print(f"named in docs/GUARANTEES.md, but did not run and pass: {it}")
    print(f"{len(names) - len(missing)} passed, {len(missing)} failed")
    return 1 if missing else 0


if __name__ == "__main__":
    sys.exit(main())
