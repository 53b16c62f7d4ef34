"""Measure costs at several sizes and generate the capacity page from them."""
