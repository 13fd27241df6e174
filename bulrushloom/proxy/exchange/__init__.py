"""Exchange of state between instances: membership, dissemination and aggregation.

The instances of a failure domain form a tree. Each instance reports to its parent, and
each parent to its children, so the cost of an instance does not depend on the size of
the fleet. The root of the tree, the domain relay, exchanges reports with the relays of
the other domains.
"""
