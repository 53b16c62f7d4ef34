import pytest

from savoryhill.bench.capacity.budget import key_value_rates
from savoryhill.bench.capacity.fit import fit_slope, fitted_value
from savoryhill.bench.capacity.report import replace_tables
from savoryhill.bench.capacity.target import TARGET, TODAY
from savoryhill.errors import SavoryhillError


class TestFit:
    def test_points_on_a_line_give_its_slope_and_no_residual(self):
        slope = fit_slope(
            "x", unit="s", per="node", sizes=(0, 10, 20), values=(1.0, 3.0, 5.0)
        )
        assert fitted_value(slope, 340) == pytest.approx(69.0)
        assert slope.residual == pytest.approx(0.0)

    def test_one_size_gives_no_slope(self):
        with pytest.raises(ValueError, match="two different sizes"):
            fit_slope("x", unit="s", per="node", sizes=(9, 9), values=(1.0, 2.0))


class TestKeyValueBudget:
    # Guards against a design that makes more calls than the key-value service allows.
    @pytest.mark.parametrize("size", [TODAY, TARGET], ids=["today", "target"])
    def test_total_rates_stay_within_the_limits_of_the_service(self, size):
        rates = key_value_rates(size).values()
        assert sum(reads for reads, _ in rates) <= size.key_value_reads_per_s
        assert sum(writes for _, writes in rates) <= size.key_value_writes_per_s


class TestReport:
    # Guards against a page that keeps tables of an earlier measurement because its
    # table marks were not found.
    def test_a_page_without_a_table_is_refused(self):
        with pytest.raises(SavoryhillError, match="missing tables"):
            replace_tables("no tables here", {})
