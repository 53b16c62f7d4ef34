from savoryhill.demo.run import run_demo


class TestDemo:
    def test_all_checks_hold(self):
        result = run_demo()
        assert [name for name, holds in result.checks if not holds] == []
        event_names = {event["event"] for event in result.timeline_events}
        assert {"attempt.started", "request.finished"} <= event_names
        assert result.n_duplicates == 0
