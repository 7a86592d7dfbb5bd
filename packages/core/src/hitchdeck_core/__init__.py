"""What every hitchdeck process shares: ids, selectors, settings, messages."""
