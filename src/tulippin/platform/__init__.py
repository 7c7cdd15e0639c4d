"""Adapters to the users' platform: store, workers, callers and advice.

Only this package uses the platform's own names. It decodes everything that
the platform sends into the types of `tulippin.jobs`. A comment beside a
field says what it holds where the platform's name for it is misleading.
"""
