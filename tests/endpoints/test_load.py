from savoryhill.endpoints.load import CacheView, apply_cache_events


def event(sequence, what, prefix):
    return {"sequence": sequence, "what": what, "prefix": prefix}


class TestCacheView:
    def test_follows_stored_and_evicted_prefixes(self):
        cache = CacheView(incarnation="e#1")
        apply_cache_events(cache, "e#1", [event(1, "stored", 7), event(2, "stored", 8)])
        apply_cache_events(cache, "e#1", [event(3, "evicted", 7)])
        assert cache.prefixes == {8}

    def test_gap_in_the_sequence_clears_the_view(self):
        cache = CacheView(incarnation="e#1")
        apply_cache_events(cache, "e#1", [event(1, "stored", 7)])
        apply_cache_events(cache, "e#1", [event(3, "stored", 9)])
        assert (cache.prefixes, cache.n_gaps) == ({9}, 1)

    def test_new_incarnation_clears_the_view(self):
        cache = CacheView(incarnation="e#1")
        apply_cache_events(cache, "e#1", [event(1, "stored", 7)])
        apply_cache_events(cache, "e#2", [])
        assert cache.prefixes == set()

    def test_events_already_applied_are_skipped(self):
        cache = CacheView(incarnation="e#1")
        apply_cache_events(
            cache, "e#1", [event(1, "stored", 7), event(2, "evicted", 7)]
        )
        apply_cache_events(cache, "e#1", [event(1, "stored", 7)])
        assert cache.prefixes == set()
