"""The list of tests known to fail passes over just these."""

import types

import pytest

from known_red import mark, read_known_red

LINE = 'tests/a.py::test_one | the cause | issue 7\n'


class Item(types.SimpleNamespace):
    def __init__(self, nodeid):
        super().__init__(nodeid=nodeid, marks=[])

    def add_marker(self, marker):
        self.marks.append(marker)


def mark_all(text, *names):
    items = [Item(name) for name in names]
    mark(items, read_known_red(text))
    return [item.marks for item in items]


def test_only_listed_tests_are_passed_over_and_only_while_they_fail():
    listed, other = mark_all(LINE, 'tests/a.py::test_one', 'tests/a.py::test_1')
    assert not other
    assert listed[0].name == 'xfail'
    assert listed[0].kwargs['strict']
    assert listed[0].kwargs['reason'] == 'the cause (issue 7)'


def test_test_that_fails_in_some_runs_is_passed_over_either_way():
    line = LINE.replace('the cause', 'sometimes: the cause')
    (marks,) = mark_all(line, 'tests/a.py::test_one')
    assert not marks[0].kwargs['strict']


def test_line_without_parameters_names_all_of_a_test():
    marks = mark_all(LINE, 'tests/a.py::test_one[1]', 'tests/a.py::test_one[2]')
    assert all(marks)


def test_line_whose_test_is_gone_is_refused():
    with pytest.raises(pytest.UsageError, match='there is no test'):
        mark_all(LINE, 'tests/a.py::test_two')


def test_line_of_a_file_that_is_not_run_is_no_matter():
    assert mark_all(LINE, 'tests/b.py::test_two') == [[]]


@pytest.mark.parametrize('text', ['tests/a.py::test_one', 'a | b |', LINE * 4])
def test_lines_without_cause_or_too_many_are_refused(text):
    with pytest.raises(pytest.UsageError):
        read_known_red(text)
