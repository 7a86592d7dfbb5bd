"""Small stand-ins for what hitchdeck talks to, and a launcher of fleets.

None of this ships.  Each stand-in speaks the published protocol of what it
stands for, and records what it ran, which is the truth that tests check
answers against.
"""
