"""Bundles: parsing, signatures, and conflicts between operators."""

import attrs
import pytest
import trio

from tulippin.bundle_store import BundleStore
from tulippin.bundles import (
    BundleState,
    compute_digest,
    make_key,
    parse_bundle,
    sign,
    verify_row,
)
from tulippin.exceptions import ConflictError, DeniedError, InputError
from tulippin.policies import InterferencePolicy
from tulippin.testing import FakeTable

TEXT = """
[bundle]
name = harvest
[trial]
policies = new, old
window_s = 30
wash_out_s = 3
[policy new]
kind = interference
load_weight = 0.4
[policy old]
kind = best_fit
[service alerts]
target_ms = 20
[team telematics]
cpu_millicores = 40000
"""
KEY_PAIRS = {name: make_key() for name in ('alice', 'bob', 'eve')}
PUBLIC_KEYS = {name: KEY_PAIRS[name][1] for name in ('alice', 'bob')}
DIGEST = compute_digest(TEXT)


def sign_as(operator, action, number, digest=DIGEST):
    return sign(KEY_PAIRS[operator][0], operator, action, number, digest)


def test_parse_bundle():
    bundle = parse_bundle(TEXT)
    assert bundle.trial.policies == ('new', 'old')
    assert bundle.policies['new'] == InterferencePolicy(load_weight=0.4)
    assert bundle.get_target_ms('alerts') == 20
    assert bundle.teams['telematics'].cpu_millicores == 40000


def test_findings_name_their_places():
    with pytest.raises(InputError) as caught:
        parse_bundle(
            '[trial]\npolicies = x\n[policy p]\nkind = y\nz = 1\n', 'f'
        )
    places = [finding.place for finding in caught.value.findings]
    assert places == [
        'f: [bundle] name',
        'f: [policy p] kind',
        'f: [policy p] z',
        'f: [trial] policies',
    ]


def test_oversized_text_is_rejected():
    with pytest.raises(InputError) as caught:
        parse_bundle('#' * 70000)
    assert caught.value.code == 'too_large'


async def propose(store, text=TEXT):
    digest = compute_digest(text)
    return await store.propose(text, sign_as('alice', 'propose', 0, digest))


async def approve(store, number, digest=DIGEST):
    await store.approve(number, sign_as('bob', 'approve', number, digest))


async def roll(store, number, operator='alice', digest=DIGEST):
    return await store.roll(number, sign_as(operator, 'roll', number, digest))


def test_life_cycle(run_virtual):
    async def run():
        store = BundleStore(FakeTable(), PUBLIC_KEYS)
        for number in (1, 2):
            row = await propose(store)
            assert row.number == number
            await approve(store, number)
            await roll(store, number)
            await store.mark_in_force(number)
        states = [row.state for row in await store.list_bundles()]
        assert states == [BundleState.SUPERSEDED, BundleState.IN_FORCE]
        await store.retire(1, sign_as('bob', 'retire', 1))
        with pytest.raises(ConflictError):
            await store.retire(2, sign_as('bob', 'retire', 2))
        verify_row(PUBLIC_KEYS, await store.read_rolled())

    run_virtual(run)


def test_older_bundle_cannot_be_rolled(run_virtual):
    async def run():
        store = BundleStore(FakeTable(), PUBLIC_KEYS)
        await propose(store)
        await propose(store)
        for number in (2, 1):
            await approve(store, number)
        await roll(store, 2)
        with pytest.raises(ConflictError) as caught:
            await roll(store, 1)
        assert caught.value.code == 'older_bundle'

    run_virtual(run)


@pytest.mark.parametrize('lost', [0.0, 0.4])
def test_one_of_concurrent_rolls_succeeds(run_virtual, lost):
    async def run():
        table = FakeTable()
        store = BundleStore(table, PUBLIC_KEYS)
        await propose(store)
        await approve(store, 1)
        table.faults.lost_answer_share = lost
        table.faults.lost_call_share = lost / 2
        results = []

        async def race(operator):
            try:
                await roll(store, 1, operator)
            except ConflictError:
                results.append('lost')
            else:
                results.append('won')

        async with trio.open_nursery() as nursery:
            for operator in ('alice', 'bob', 'alice', 'bob'):
                nursery.start_soon(race, operator)
        assert sorted(results) == ['lost', 'lost', 'lost', 'won']

    for seed in range(8):
        run_virtual(run, seed=seed)


def test_unknown_and_forged_signatures_are_denied(run_virtual):
    async def run():
        store = BundleStore(FakeTable(), PUBLIC_KEYS)
        with pytest.raises(DeniedError) as caught:
            await store.propose(TEXT, sign_as('eve', 'propose', 0))
        assert caught.value.code == 'unknown_operator'
        await propose(store)
        forged = attrs.evolve(sign_as('eve', 'approve', 1), operator='bob')
        with pytest.raises(DeniedError) as caught:
            await store.approve(1, forged)
        assert caught.value.code == 'bad_signature'
        await approve(store, 1)
        row = await roll(store, 1)
        verify_row(PUBLIC_KEYS, row)
        for changed in (
            attrs.evolve(row, text=f'{TEXT}#'),
            attrs.evolve(row, number=2),
            attrs.evolve(row, approved=None),
            attrs.evolve(row, approved=row.proposed),
        ):
            with pytest.raises(DeniedError):
                verify_row(PUBLIC_KEYS, changed)

    run_virtual(run)
