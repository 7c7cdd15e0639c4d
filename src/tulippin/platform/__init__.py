"""The users' platform: the one folder that knows its names.

Everything is decoded here once, into the product's own types. Where a
name of the platform misleads, a comment beside its field says so.
"""
