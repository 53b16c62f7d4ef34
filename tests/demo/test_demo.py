from savoryhill.demo.run import run_demo


class TestDemo:
    def test_every_check_of_the_demo_holds(self):
        _, checks, time_line = run_demo()
        assert [name for name, holds in checks if not holds] == []
        assert any(event["event"] == "request.finished" for event in time_line)
