"""Sums of usage over a subtree, and what a total contains of an instance itself."""

from datetime import timedelta

from bulrushloom.proxy.exchange.aggregation import ORPHANS_MOVE_TIME, SubtreeTotals
from bulrushloom.proxy.limits import Usage
from tests.proxy.builders import ms
from tests.proxy.exchange.builders import NOW, build_report, build_usage

WINDOW = timedelta(seconds=5)
TIMEOUT = ms(900)


def build_totals():
    return SubtreeTotals("run-root", TIMEOUT, WINDOW)


def record(totals, name, stamp, admitted, at=NOW, **changes):
    usage = build_usage(2, at, hotel=admitted)
    totals.record_child(build_report(name, stamp, now=at, subtree=usage, **changes))


def total(totals, own=1.0, at=NOW):
    return totals.total({"hotel": Usage(own, 1.0)}, "", at)


def test_total_counts_the_subtrees_of_all_children():
    totals = build_totals()
    record(totals, "a", 1, 3.0)
    record(totals, "b", 1, 4.0)
    result = total(totals)
    assert result.instance_count == 5
    assert result.usage_by_account["hotel"] == (8.0, 3.0, 1.0)


def test_usage_of_a_silent_child_counts_until_it_leaves_the_window():
    # Guards against an account that exceeds its rate after an instance was killed.
    totals = build_totals()
    record(totals, "a", 1, 3.0)
    later = total(totals, at=NOW + ms(1000))
    assert later.instance_count == 1
    assert later.usage_by_account["hotel"] == (4.0, 1.0, 0.0)
    assert total(totals, at=NOW + WINDOW).usage_by_account["hotel"].admitted == 1.0


def test_usage_of_a_restarted_child_includes_its_previous_incarnation():
    totals = build_totals()
    record(totals, "a", 1, 3.0)
    member = build_report("a", 1).member._replace(incarnation="run-again")
    record(totals, "a", 2, 1.0, at=NOW + ms(400), member=member)
    assert total(totals, at=NOW + ms(500)).usage_by_account["hotel"].admitted == 5.0


def test_usage_of_a_child_that_moved_counts_for_a_moment_only():
    totals = build_totals()
    record(totals, "a", 1, 3.0)
    record(totals, "a", 2, 3.0, has_left=True)
    moved = total(totals)
    assert moved.instance_count == 1
    assert moved.usage_by_account["hotel"].admitted == 4.0
    assert total(totals, at=NOW + ms(1000)).usage_by_account["hotel"].admitted == 1.0


def test_orphans_of_a_silent_child_count_at_their_new_parent_only():
    # Guards against usage that counts twice for a window after a parent was killed.
    totals = build_totals()
    record(totals, "a", 1, 3.0, own_usage={"hotel": Usage(1.0, 1.0)})
    record(totals, "b", 1, 2.0)
    later = NOW + ORPHANS_MOVE_TIME
    record(totals, "b", 2, 4.0, at=later)
    assert total(totals, at=later).usage_by_account["hotel"].admitted == 6.0


def test_instance_that_hears_no_child_counts_their_subtrees():
    # Guards against a relay that receives nothing and reports too low a total.
    totals = build_totals()
    record(totals, "a", 1, 3.0, own_usage={"hotel": Usage(1.0, 1.0)})
    later = NOW + ORPHANS_MOVE_TIME
    assert total(totals, at=later).usage_by_account["hotel"].admitted == 4.0


def test_child_that_moved_while_this_instance_was_frozen_counts_no_more():
    totals = build_totals()
    record(totals, "a", 1, 3.0)
    thawed = NOW + ms(3000)
    left_at = NOW + ms(900)
    record(totals, "a", 9, 3.0, at=thawed, has_left=True, sent_at=left_at)
    assert total(totals, at=thawed).usage_by_account["hotel"].admitted == 1.0


def test_own_part_is_subtracted_as_it_was_reported():
    # Guards against operations that an instance counts twice, or not at all, because
    # its usage has changed since its report.
    totals = build_totals()
    record(totals, "a", 7, 3.0)
    totals.record_sent(20, {"hotel": Usage(2.0, 1.0)}, "")
    domain_total = build_usage(9, hotel=30.0)
    others = totals.without_own_part(domain_total, 20)
    assert others.instance_count == 8
    assert others.usage_by_account["hotel"].admitted == 28.0
    assert totals.included_stamps(20) == {"run-a": 7}


def test_nothing_is_subtracted_from_a_total_without_a_known_report():
    totals = build_totals()
    domain_total = build_usage(9, hotel=30.0)
    for stamp in (0, 99):
        assert totals.without_own_part(domain_total, stamp) == domain_total


def test_parent_that_reports_here_is_left_out():
    # Guards against sums that grow in a cycle while the order of the tree changes.
    totals = build_totals()
    record(totals, "a", 1, 3.0)
    result = totals.total({"hotel": Usage(1.0, 1.0)}, "a", NOW)
    assert result.usage_by_account["hotel"].admitted == 1.0
