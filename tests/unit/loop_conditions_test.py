"""Fails if a source awaits within the condition of a loop.

GCC 12 evaluates the right operand of `while (a && co_await f())` although `a` is false. A loop
awaits in its body instead.
"""

import pathlib
import re
import sys
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2]
FOLDERS = ["src", "platform", "apps", "bench", "standins", "tests"]
LOOP = re.compile(r"\b(?:while|for)\s*\(")


def without_comments(text):
    """Replaces comments by blanks, so that positions stay."""
    return re.sub(r"//[^\n]*|/\*.*?\*/", lambda found: re.sub(r"[^\n]", " ", found[0]), text, flags=re.S)


def awaiting_loops(text):
    """Yields the line numbers of loops whose parentheses contain co_await."""
    text = without_comments(text)
    for loop in LOOP.finditer(text):
        depth, end = 1, loop.end()
        while depth > 0 and end < len(text):
            depth += {"(": 1, ")": -1}.get(text[end], 0)
            end += 1
        if re.search(r"\bco_await\b", text[loop.end():end]):
            yield text.count("\n", 0, loop.start()) + 1


class LoopConditions(unittest.TestCase):
    def test_finds_awaiting_conditions(self):
        for form in ["while (!a && !co_await f())\n{}", "while (!a &&\n  (!b || !co_await f()))",
                     "do {} while (co_await f());", "for (; a && co_await f();)"]:
            self.assertEqual(list(awaiting_loops(form)), [1], form)

    def test_leaves_other_forms_alone(self):
        for form in ["while (a)\n{ co_await f(); }", "if (a && co_await f())", "// while (co_await f())"]:
            self.assertEqual(list(awaiting_loops(form)), [], form)

    def test_no_source_awaits_in_the_condition_of_a_loop(self):
        found = [f"{path.relative_to(ROOT)}:{line}"
                 for folder in FOLDERS
                 for path in sorted((ROOT / folder).rglob("*.?pp"))
                 for line in awaiting_loops(path.read_text())]
        self.assertEqual(found, [], "move the co_await into the body of the loop")


if __name__ == "__main__":
    sys.exit(unittest.main())
