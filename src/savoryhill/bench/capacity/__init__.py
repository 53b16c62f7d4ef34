"""Costs measured at several sizes, and the capacity page made from them."""
