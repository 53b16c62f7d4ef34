from savoryhill.demo.run import run_demo


class TestDemo:
    def test_every_check_of_the_demo_holds(self):
        result = run_demo()
        assert [name for name, holds in result.checks if not holds] == []
        names = {event["event"] for event in result.time_line}
        assert {"attempt.started", "request.finished"} <= names
        assert result.n_duplicates == 0
