"""Dispatch of effects to the tasks that perform them."""

from __future__ import annotations

import functools
import typing as t

from tulippin import effects as fx

if t.TYPE_CHECKING:
    from tulippin.shell import Shell


@functools.singledispatch
def perform(effect: fx.Effect, shell: Shell) -> None:
    """Start performing an effect, without waiting for it."""
    raise NotImplementedError(type(effect))


@perform.register(fx.OpenSession)
def _(effect: fx.OpenSession, shell: Shell) -> None:
    shell.start(shell.sessions.open_session)


@perform.register(fx.CloseSession)
def _(effect: fx.CloseSession, shell: Shell) -> None:
    shell.start(shell.sessions.close_session, effect)


@perform.register(fx.Leave)
def _(effect: fx.Leave, shell: Shell) -> None:
    """Do nothing, as closing the session sets ``left``."""


@perform.register(fx.RenewLease)
def _(effect: fx.RenewLease, shell: Shell) -> None:
    shell.start(shell.sessions.renew, effect)


@perform.register(fx.PollTable)
def _(effect: fx.PollTable, shell: Shell) -> None:
    shell.start(shell.sessions.poll)


@perform.register(fx.ListWorkers)
def _(effect: fx.ListWorkers, shell: Shell) -> None:
    shell.start(shell.sessions.list_instances)


@perform.register(fx.WriteOwnership)
def _(effect: fx.WriteOwnership, shell: Shell) -> None:
    shell.start(shell.sessions.write_ownership, effect)


@perform.register(fx.CommitJournal)
def _(effect: fx.CommitJournal, shell: Shell) -> None:
    shell.start(shell.sessions.commit, effect)


@perform.register(fx.PublishSnapshot)
def _(effect: fx.PublishSnapshot, shell: Shell) -> None:
    shell.start(shell.sessions.publish, effect)


@perform.register(fx.LoadUnit)
def _(effect: fx.LoadUnit, shell: Shell) -> None:
    shell.start(shell.sessions.load_unit, effect)


@perform.register(fx.SendPeer)
def _(effect: fx.SendPeer, shell: Shell) -> None:
    shell.network.send_peer(effect)


@perform.register(fx.SyncWorker)
def _(effect: fx.SyncWorker, shell: Shell) -> None:
    shell.start(shell.network.sync_worker, effect)


@perform.register(fx.CallEndpoint)
def _(effect: fx.CallEndpoint, shell: Shell) -> None:
    shell.start(shell.network.call_endpoint, effect)


@perform.register(fx.AnswerRequest)
def _(effect: fx.AnswerRequest, shell: Shell) -> None:
    shell.answer(effect.call_id, effect.outcome)


@perform.register(fx.AnswerJob)
def _(effect: fx.AnswerJob, shell: Shell) -> None:
    shell.answer(effect.call_id, effect.reply)


@perform.register(fx.AnswerReport)
def _(effect: fx.AnswerReport, shell: Shell) -> None:
    shell.answer(effect.call_id, effect)


@perform.register(fx.VerifyBundle)
def _(effect: fx.VerifyBundle, shell: Shell) -> None:
    shell.bundle_effects.verify_bundle(effect)


@perform.register(fx.FetchBundle)
def _(effect: fx.FetchBundle, shell: Shell) -> None:
    shell.start(shell.bundle_effects.fetch_bundle, effect)


@perform.register(fx.MarkInForce)
def _(effect: fx.MarkInForce, shell: Shell) -> None:
    shell.start(shell.bundle_effects.mark_in_force, effect)


@perform.register(fx.ObserveLatency)
def _(effect: fx.ObserveLatency, shell: Shell) -> None:
    for observer in shell.observers:
        observer(effect)
