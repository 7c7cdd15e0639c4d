"""Communication between instances over gRPC.

The server's threads pass envelopes to the trio loop and answer without
waiting for it. Results of client calls wake the loop from gRPC's threads.
"""

from __future__ import annotations

import typing as t
from concurrent import futures

import attrs
import grpc
import trio

from tulippin import codec, peers_pb2, peers_pb2_grpc
from tulippin.exceptions import InputError, UnavailableError
from tulippin.messages import BundleSent
from tulippin.ports import Envelope

_SERVER_THREADS: t.Final = 4
_MAX_MESSAGE_BYTES: t.Final = 64 * 1024 * 1024
_OPTIONS: t.Final = (
    ('grpc.max_receive_message_length', _MAX_MESSAGE_BYTES),
    ('grpc.max_send_message_length', _MAX_MESSAGE_BYTES),
    ('grpc.so_reuseport', 0),
)
_CALL_TIMEOUT_S: t.Final = 5.0


@attrs.frozen
class PeerCredentials:
    """PEM files for mutual TLS between peers.

    Parameters
    ----------
    certificate, key, authority : bytes
        This instance's certificate chain and key, and the authority
        that signed all instances' certificates.
    name : str
        The host name in every instance's certificate.
    """

    certificate: bytes
    key: bytes
    authority: bytes
    name: str


def encode_envelope(envelope: Envelope) -> peers_pb2.Envelope:
    """Return the protobuf message of an envelope."""
    messages = [
        peers_pb2.PeerMessage(kind=kind, body=body)
        for kind, body in map(codec.encode_message, envelope.messages)
    ]
    return peers_pb2.Envelope(
        session_id=envelope.session_id,
        instance_id=envelope.instance_id,
        sequence=envelope.sequence,
        messages=messages,
    )


def decode_envelope(message: peers_pb2.Envelope) -> Envelope:
    """Return the envelope of a protobuf message.

    Raises ``InputError`` if a message in it is invalid or of unknown kind.
    """
    return Envelope(
        message.session_id,
        message.instance_id,
        message.sequence,
        tuple(
            codec.decode_message(part.kind, part.body)
            for part in message.messages
        ),
    )


class GrpcPeers:
    """gRPC client that implements the ``Peers`` port; a context manager."""

    def __init__(self, credentials: PeerCredentials | None = None) -> None:
        self._credentials = credentials
        self._channels: dict[str, grpc.Channel] = {}

    def __enter__(self) -> t.Self:
        """Return the client; channels are opened at their first use."""
        return self

    def __exit__(self, *details: object) -> None:
        """Close all channels."""
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()

    async def deliver(self, address: str, envelope: Envelope) -> None:
        """Deliver an envelope; after an error it may be lost."""
        stub = peers_pb2_grpc.PeersStub(self._get_channel(address))
        await _call(stub.Deliver, encode_envelope(envelope))

    async def fetch_bundle(self, address: str) -> BundleSent | None:
        """Return the bundle that the instance at an address holds."""
        stub = peers_pb2_grpc.PeersStub(self._get_channel(address))
        reply = await _call(stub.FetchBundle, peers_pb2.BundleRequest())
        if not reply.number:
            return None
        return BundleSent(reply.number, reply.approved)

    def _get_channel(self, address: str) -> grpc.Channel:
        channel = self._channels.get(address)
        if channel is None:
            channel = self._open_channel(address)
            self._channels[address] = channel
        return channel

    def _open_channel(self, address: str) -> grpc.Channel:
        if self._credentials is None:
            return grpc.insecure_channel(address, _OPTIONS)
        return grpc.secure_channel(
            address,
            grpc.ssl_channel_credentials(
                self._credentials.authority,
                self._credentials.key,
                self._credentials.certificate,
            ),
            (
                *_OPTIONS,
                ('grpc.ssl_target_name_override', self._credentials.name),
            ),
        )


async def _call(method: t.Any, message: t.Any) -> t.Any:
    """Call a unary method without blocking the trio loop."""
    token = trio.lowlevel.current_trio_token()
    done = trio.Event()
    future = method.future(message, timeout=_CALL_TIMEOUT_S)

    def wake(_: object) -> None:
        try:
            token.run_sync_soon(done.set)
        except trio.RunFinishedError:
            return

    future.add_done_callback(wake)
    try:
        await done.wait()
    except trio.Cancelled:
        future.cancel()
        raise
    try:
        return future.result()
    except (grpc.RpcError, grpc.FutureCancelledError) as error:
        raise UnavailableError('the peer does not answer') from error


class _Servicer(peers_pb2_grpc.PeersServicer):
    """Handles calls on gRPC's threads and passes envelopes to trio."""

    def __init__(
        self,
        receive: t.Callable[[Envelope], None],
        get_bundle: t.Callable[[], tuple[int, str]],
        token: trio.lowlevel.TrioToken,
    ) -> None:
        self._receive = receive
        self._get_bundle = get_bundle
        self._token = token

    def Deliver(self, request, context):  # noqa: N802
        """Decode an envelope and pass it to the trio loop."""
        try:
            envelope = decode_envelope(request)
        except InputError as error:
            context.abort(grpc.StatusCode.INVALID_ARGUMENT, error.message)
        try:
            self._token.run_sync_soon(self._receive, envelope)
        except trio.RunFinishedError:
            context.abort(grpc.StatusCode.UNAVAILABLE, 'stopped')
        return peers_pb2.Receipt()

    def FetchBundle(self, request, context):  # noqa: N802
        """Return the bundle that this instance holds."""
        number, approved = self._get_bundle()
        return peers_pb2.BundleReply(number=number, approved=approved)


class PeerServer:
    """gRPC server; a context manager that listens while it is open.

    Parameters
    ----------
    address : str
        IP and port; for port 0 a free one is chosen, see ``port``.
    receive : callable
        Called in the trio loop with each envelope.
    get_bundle : callable
        Returns the number and approved row of the bundle held.
    credentials : PeerCredentials, optional
        For mutual TLS.
    """

    def __init__(
        self,
        address: str,
        receive: t.Callable[[Envelope], None],
        get_bundle: t.Callable[[], tuple[int, str]],
        credentials: PeerCredentials | None = None,
    ) -> None:
        self._address = address
        self._receive = receive
        self._get_bundle = get_bundle
        self._credentials = credentials
        self._server: t.Any = None
        self.port = 0

    def __enter__(self) -> t.Self:
        """Start listening; must be called from the trio loop."""
        pool = futures.ThreadPoolExecutor(_SERVER_THREADS)
        self._server = grpc.server(pool, options=_OPTIONS)
        peers_pb2_grpc.add_PeersServicer_to_server(
            _Servicer(
                self._receive,
                self._get_bundle,
                trio.lowlevel.current_trio_token(),
            ),
            self._server,
        )
        try:
            self.port = self._bind()
        except RuntimeError as error:
            raise UnavailableError(
                f'cannot listen on {self._address}; is it in use?',
                code='address_in_use',
            ) from error
        self._server.start()
        return self

    def __exit__(self, *details: object) -> None:
        """Stop listening."""
        self._server.stop(0)

    def _bind(self) -> int:
        if self._credentials is None:
            return int(self._server.add_insecure_port(self._address))
        key_pair = (self._credentials.key, self._credentials.certificate)
        secure = grpc.ssl_server_credentials(
            [key_pair], self._credentials.authority, require_client_auth=True
        )
        return int(self._server.add_secure_port(self._address, secure))
