"""Tests, in folders by purpose."""
