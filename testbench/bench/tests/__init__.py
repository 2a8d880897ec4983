"""Tests of the experiment runner."""
