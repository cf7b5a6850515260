"""A caller that may read slowly, with small windows as between machines: a small request, then a booking on the channel.

Arguments: port, id, ms of pause after each read, time limit in s, bytes of the answer's body. Prints what it has seen as JSON.
"""
import json
import re
import socket
import sys
import time

begun = time.monotonic()
port, rid, pause, limit, size = int(sys.argv[1]), sys.argv[2], float(sys.argv[3]) / 1000, float(sys.argv[4]), int(sys.argv[5])
sock = socket.socket()
if pause:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1400)
sock.settimeout(limit)
sock.connect(('127.0.0.1', port))


def send(method, path, request_id, body):
    head = f'{method} {path} HTTP/1.1\r\nHost: app.example\r\nHazelford-Request-Id: {request_id}\r\nHazelford-Deadline-Ms: {int(limit * 1000)}\r\nContent-Length: {len(body)}\r\n\r\n'
    sock.sendall(head.encode() + body)


def read_small():
    data = b''
    while not data.endswith(b'ok'):
        part = sock.recv(4096)
        if not part:
            raise SystemExit('The small answer did not come.')
        data += part


def body_of(data):
    """The body and whether its framing says that it is complete; None where only the channel's end marks the end."""
    head, _, rest = data.partition(b'\r\n\r\n')
    if b'\r\n\r\n' not in data:
        return b'', False
    length = re.search(rb'content-length: (\d+)', head, re.I)
    if length:
        return rest, len(rest) >= int(length.group(1))
    if not re.search(rb'transfer-encoding: chunked', head, re.I):
        return rest, None
    body = b''
    while True:
        line, found, after = rest.partition(b'\r\n')
        if not found:
            return body, False
        count = int(line, 16)
        if count == 0:
            return body, after.startswith(b'\r\n')
        body += after[:count]
        if len(after) < count + 2:
            return body, False
        rest = after[count + 2:]


send('GET', '/stock/1', 's' + rid, b'')
read_small()
started = time.monotonic()
send('POST', '/book/1', rid, b'x')
data, end = bytearray(), 'time limit'
while time.monotonic() - started < limit:
    try:
        part = sock.recv(8192 if pause else 1 << 20)
    except ConnectionResetError:
        end = 'reset'
        break
    except TimeoutError:
        break
    if not part:
        end = 'closed'
        break
    data += part
    if data.endswith(b'0\r\n\r\n') and body_of(bytes(data))[1] is True:
        end = 'answer complete'
        break
    if pause:
        time.sleep(pause)
body, complete = body_of(bytes(data))
if complete is None:
    complete = end == 'closed' and len(body) == size
print(json.dumps({'id': rid, 'status': bytes(data[:15]).decode('latin1'), 'body': len(body), 'complete': complete, 'end': end, 'sent': round((started - begun) * 1000), 'ms': round((time.monotonic() - started) * 1000)}))
