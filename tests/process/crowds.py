"""Clients that do not behave, and what the process that they call uses meanwhile."""

import http.client
import os
import selectors
import socket
import threading
import time

STALL_S = 1.0  # a crowd is complete when no connection has accepted a byte for so long
UNSENT = 100  # bytes short of the end at which most requests stop
KEEP_OPEN_S = 3.0  # after this time each connection sends one byte more, or one chunk


def request_head(method, path, host, extra):
    return f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n{extra}\r\n".encode()


def whole_body(method, path, host, size, is_complete):
    head = request_head(method, path, host, f"Content-Length: {size}\r\n")
    return head + b" " * (size if is_complete else size - UNSENT)


def chunked_body(method, path, host, size, chunk, is_complete):
    head = request_head(method, path, host, "Transfer-Encoding: chunked\r\n")
    piece = f"{chunk:x}\r\n".encode() + b" " * chunk + b"\r\n"
    chunks = size // chunk - (0 if is_complete else max(1, UNSENT // chunk))
    return head + piece * chunks + (b"0\r\n\r\n" if is_complete else b"")


class Crowd:
    """Connections that send what they have and stay open; their answers are not read."""

    def __init__(self, address, texts, piece=1 << 20, more=b" "):
        self.address, self.piece, self.more = address, piece, more
        self.connections = []
        self.is_over = threading.Event()
        self.keeper = threading.Thread(target=self.keep_open)
        self.selector = selectors.DefaultSelector()
        for text in texts:
            it = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            it.setblocking(False)
            it.connect_ex(address)
            self.connections.append(it)
            self.selector.register(it, selectors.EVENT_WRITE, [memoryview(text)])

    def drop(self, it):
        self.selector.unregister(it)
        it.close()

    def send(self):
        """Sends piece by piece, in turn, until all is sent or no connection accepts more."""
        last = time.monotonic()
        while self.selector.get_map() and time.monotonic() - last < STALL_S:
            for key, _ in self.selector.select(0.1):
                try:
                    n = key.fileobj.send(key.data[0][: self.piece])
                except BlockingIOError:
                    continue
                except OSError:  # refused
                    self.drop(key.fileobj)
                    continue
                last = time.monotonic()
                key.data[0] = key.data[0][n:]
                if not key.data[0]:
                    self.selector.unregister(key.fileobj)
        self.keeper.start()

    def keep_open(self):
        while not self.is_over.wait(KEEP_OPEN_S):
            for it in self.connections:
                try:
                    it.send(self.more)
                except OSError:  # closed, or not all was accepted
                    continue

    def close(self):
        self.is_over.set()
        self.keeper.join()
        for it in self.connections:
            it.close()
        self.selector.close()


def crowds(address, method, path, host, size, connections, ahead):
    """All kinds of crowds, by name, as functions that start them. `ahead` is the text of a request that is repeated."""
    host_name = host or f"{address[0]}:{address[1]}"

    def mixed(make):
        texts = {it: make(it) for it in (True, False)}
        return [texts[n % 10 == 0] for n in range(connections)]

    def whole(is_complete):
        return whole_body(method, path, host_name, size, is_complete)

    def chunks(length):
        return lambda is_complete: chunked_body(method, path, host_name, size, length, is_complete)

    chunk = b"1\r\n \r\n"
    return {
        "whole bodies": lambda: Crowd(address, mixed(whole)),
        "bodies in pieces": lambda: Crowd(address, mixed(whole), piece=8 << 10),
        "large chunks": lambda: Crowd(address, mixed(chunks(64 << 10)), more=chunk),
        "small chunks": lambda: Crowd(address, mixed(chunks(4)), piece=8 << 10, more=chunk),
        "requests ahead": lambda: Crowd(address, [ahead * 2000] * 8, more=ahead),
    }


def status_field(pid, name):
    """A number of /proc/PID/status, in the unit that it has there."""
    with open(f"/proc/{pid}/status", encoding="ascii") as lines:
        return next(int(line.split()[1]) for line in lines if line.startswith(name + ":"))


def open_files(pid):
    return len(os.listdir(f"/proc/{pid}/fd"))


def answer_of(address, method, path, body, headers, tries=30):
    """The status of an ordinary request; it is sent again while it is refused or gets no answer."""
    status = 0
    for _ in range(tries):
        channel = http.client.HTTPConnection(*address, timeout=2)
        try:
            channel.request(method, path, body, headers)
            status = channel.getresponse().status
        except (OSError, http.client.HTTPException):
            status = 0
        finally:
            channel.close()
        if status not in (0, 429, 502, 503, 504):
            break
        time.sleep(0.2)
    return status


def check_crowds(checks, process, kinds, ordinary, memory_mib, files):
    """Starts one crowd after the other; each stays open until its checks are done."""
    for name, start in kinds.items():
        crowd = start()
        crowd.send()
        status = ordinary()
        is_running = process.running()
        checks.check(f"{process.name}, {name}: the process lives", is_running, process.popen.returncode)
        if not is_running:
            return
        peak = status_field(process.popen.pid, "VmHWM") // 1024
        opened = open_files(process.popen.pid)
        print(f"{process.name}, {name}: peak {peak} MiB, {opened} files, an ordinary request: {status}", flush=True)
        checks.check(f"{process.name}, {name}: memory stays under {memory_mib} MiB", peak < memory_mib, peak)
        checks.check(f"{process.name}, {name}: open files stay under {files}", opened < files, opened)
        checks.check(f"{process.name}, {name}: an ordinary request is served", status == 200, status)
        crowd.close()
