"""Pipelined requests on one connection are answered in order by slow targets."""

import json
import socket

from tests.processes import builders


def request(fleet, number):
    body = json.dumps({"database": "stock", "sql": f"SELECT {number}", "params": []})
    head = f"Host: x\r\nAuthorization: Bearer {fleet.api_key('catalogue')}"
    head += f"\r\nContent-Length: {len(body)}\r\n\r\n"
    return f"POST /v1/query HTTP/1.1\r\n{head}{body}".encode()


def test_late_answers_stay_with_their_requests(tmp_path):
    with builders.running_fleet(tmp_path) as fleet:
        for name in fleet.target_names:
            fleet.set_faults(name, service_ms=400)
        host, port = fleet.caller_address_by_entry[fleet.entry_names[0]].split(":")
        with socket.create_connection((host, int(port)), timeout=15) as sock:
            sock.sendall(b"".join(request(fleet, number) for number in range(5)))
            received = b""
            while received.count(b'"rows"') < 5:
                received += sock.recv(65536)
    order = [received.index(f'"rows":[[{number}]]'.encode()) for number in range(5)]
    assert order == sorted(order)
