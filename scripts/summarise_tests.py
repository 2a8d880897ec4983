"""Counts the test cases in GoogleTest's JSON results and prints "N passed, N failed"."""

import json
import pathlib
import re
import sys


def known_red_cases(path):
    """Names of the test cases ("suite.case") that KNOWN-RED.txt lists."""
    if not path.exists():
        return set()
    return set(re.findall(r"^test: (\S+)", path.read_text(), re.MULTILINE))


def test_cases(directory):
    """Yields (name, failed) for each test case that ran."""
    for path in sorted(directory.glob("*.json")):
        for suite in json.loads(path.read_text())["testsuites"]:
            for case in suite["testsuite"]:
                if case["status"] == "RUN" and case["result"] != "SKIPPED":
                    yield f"{suite['name']}.{case['name']}", "failures" in case


def main():
    directory, known_path, ctest_status = sys.argv[1:]
    known = known_red_cases(pathlib.Path(known_path))
    passed, failed, known_failed = [], [], []
    for name, has_failed in test_cases(pathlib.Path(directory)):
        if not has_failed:
            passed.append(name)
        elif name in known:
            known_failed.append(name)
        else:
            failed.append(name)
    for name in known_failed:
        print(f"known failure (KNOWN-RED.txt): {name}")
    for name in failed:
        print(f"failed: {name}")
    # A program that crashed or timed out reports no cases; CTest's status shows it.
    if int(ctest_status) != 0 and not failed and not known_failed:
        failed.append("a test program")
        print("failed: a test program crashed or timed out")
    print(f"{len(passed)} passed, {len(failed)} failed")
    sys.exit(1 if failed or not passed else 0)


if __name__ == "__main__":
    main()
