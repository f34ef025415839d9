import * as http from "node:http";
import * as net from "node:net";
import * as chai from "chai";
import * as responses from "../src/host/response.js";

const { expect } = chai;

/** Sends raw bytes to a server with this handler; returns what came back, and whether the connection was reset. */
async function exchange(
  handler: http.RequestListener,
  bytes: string,
): Promise<{ readonly text: string; readonly isReset: boolean }> {
  const server = http.createServer(handler);
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  const { port } = server.address() as net.AddressInfo;
  const socket = net.connect(port, "127.0.0.1");
  socket.write(bytes);
  try {
    return await new Promise((resolve) => {
      let text = "";
      socket.on("data", (part) => (text += part.toString()));
      socket.on("error", () => undefined);
      socket.on("close", (isReset) => {
        resolve({ text, isReset });
      });
    });
  } finally {
    server.close();
    server.closeAllConnections();
  }
}

describe("a response that is broken off", () => {
  const breakAfterPart: http.RequestListener = (_req, res) => {
    res.writeHead(200);
    res.write("part");
    // Later than the bytes: Node.js takes a reset that arrives together with them for an end.
    setTimeout(() => {
      responses.breakOff(res);
    }, 20);
  };

  it("resets the connection of an HTTP/1.0 client, for which a close would be its end", async () => {
    const { text, isReset } = await exchange(breakAfterPart, "GET / HTTP/1.0\r\n\r\n");
    expect(text.toLowerCase()).not.include("chunked");
    expect(isReset).equal(true);
  });

  it("has no last chunk", async () => {
    const { text } = await exchange(breakAfterPart, "GET / HTTP/1.1\r\nhost: x\r\n\r\n");
    expect(text).include("4\r\npart\r\n").not.include("\r\n0\r\n");
  });

  it("closes the connection if it has not begun", async () => {
    const { text } = await exchange((_req, res) => {
      responses.breakOff(res);
    }, "GET / HTTP/1.0\r\n\r\n");
    expect(text).equal("");
  });
});

describe("the responses of a process that ends", () => {
  /** Bytes that the sockets' buffers hold, and more than they hold. */
  const HELD_BYTES = 400_000;
  const LONGER_BYTES = 40_000_000;

  /** What an HTTP/1.0 client gets that reads nothing until the responses of its server were broken off. */
  async function receivedOf(size: number, end: boolean) {
    const open = new Set<http.ServerResponse>();
    const server = http.createServer((_req, res) => {
      open.add(res);
      res.writeHead(200);
      res.write(Buffer.alloc(size));
      if (end) res.end();
    });
    await new Promise<void>((resolve) => {
      server.listen(0, "127.0.0.1", resolve);
    });
    const { port } = server.address() as net.AddressInfo;
    const socket = net.connect({ port, host: "127.0.0.1", allowHalfOpen: true }).pause();
    socket.write("GET / HTTP/1.0\r\n\r\n");
    await new Promise((resolve) => setTimeout(resolve, 100));
    responses.breakOffAll(open);
    server.close();
    return new Promise<{ readonly bytes: number; readonly isReset: boolean }>((resolve) => {
      let bytes = 0;
      const finish = (isReset: boolean): void => {
        resolve({ bytes, isReset });
        socket.destroy();
      };
      socket.on("data", (part) => (bytes += part.length)).resume();
      socket.once("error", () => {
        finish(true);
      });
      // Node.js takes a reset that arrives together with the last bytes for an end; a write shows it.
      socket.once("end", () => {
        socket.write("\r\n", (err) => {
          finish(Boolean(err));
        });
      });
    });
  }

  it("are broken off unless the kernel has all their bytes", async () => {
    const complete = await receivedOf(HELD_BYTES, true);
    expect(complete.isReset).equal(false);
    expect(complete.bytes).above(HELD_BYTES);
    expect(await receivedOf(HELD_BYTES, false)).include({ isReset: true });
    expect(await receivedOf(LONGER_BYTES, true)).include({ isReset: true });
  });
});
