"""Check of the soak that clients of cut nodes are served."""

from savoryhill.soak.cut_checks import CUT_BOUND_S, MIN_REQUESTS, check_cut_nodes
from savoryhill.soak.observations import ObservedRequest

SPAN = ("n1", 10.0, 60.0)


def requests_of(node, statuses, *, kind="stock", start=10.0 + CUT_BOUND_S + 0.1):
    return [
        ObservedRequest(
            id=f"{node}-{number}",
            kind=kind,
            node=node,
            incarnation=1,
            sent_at=start + number,
            ended_at=start + number + 0.1,
            remaining_s=4.0,
            status=status,
            body=b"",
            is_complete=True,
            was_undisturbed=True,
        )
        for number, status in enumerate(statuses)
    ]


class TestCheckOfCutNodes:
    def test_cut_node_that_refuses_is_found(self):
        cut = requests_of("n1", [503] * MIN_REQUESTS)
        others = requests_of("n2", [200] * MIN_REQUESTS)
        (finding,) = check_cut_nodes(cut + others, [SPAN])
        assert "n1 served 0 of 20" in finding.detail

    def test_cut_node_that_serves_as_the_others_do_is_none(self):
        statuses = [200, 200, 503, 200] * (MIN_REQUESTS // 4)
        requests = requests_of("n1", statuses) + requests_of("n2", statuses)
        assert check_cut_nodes(requests, [SPAN]) == []

    def test_first_moments_of_a_cut_do_not_count(self):
        cut = requests_of("n1", [503] * MIN_REQUESTS, start=11.0 - MIN_REQUESTS)
        others = requests_of("n2", [200] * MIN_REQUESTS)
        assert check_cut_nodes(cut + others, [SPAN]) == []

    def test_kind_that_nobody_serves_is_no_finding(self):
        # Guards against a node whose clients ask for more of what no engine takes.
        cut = requests_of("n1", [503] * 30, kind="chat") + requests_of("n1", [200] * 5)
        others = requests_of("n2", [503] * 5, kind="chat") + requests_of(
            "n2", [200] * 30
        )
        assert check_cut_nodes(cut + others, [SPAN]) == []
