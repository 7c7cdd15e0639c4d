"""ASGI application that refuses each request before it reads the body."""


async def refuse_at_once(scope, receive, send):
    if scope['type'] != 'http':
        raise NotImplementedError(scope['type'])
    headers = [(b'content-length', b'0')]
    start = {'type': 'http.response.start', 'status': 413, 'headers': headers}
    await send(start)
    await send({'type': 'http.response.body', 'body': b''})
