import * as http from "node:http";
import * as net from "node:net";
import * as timers from "node:timers/promises";
import * as chai from "chai";
import * as clock from "../../src/host/clock.js";
import * as fixture from "../connections/fixture.js";
import * as pacedReader from "../../src/host/reading/paced-reader.js";

const { expect } = chai;

const SETTLED_MS = 100;
const BODY_BYTES = 4_000_000;
/** Most bytes that a server may read of a connection that it has closed. */
const MOST_DISCARDED_BYTES = 400_000;

/** A server that is read by a paced reader, and a raw client of it. */
async function open(handle: http.RequestListener) {
  const connections = fixture.create();
  const server = http.createServer(
    { maxHeaderSize: pacedReader.MAX_HEAD_BYTES },
    connections.listener(handle),
  );
  connections.install(server);
  const reader = new pacedReader.PacedReader(clock.system, connections);
  reader.install(server);
  const accepted: net.Socket[] = [];
  server.on("connection", (socket) => accepted.push(socket));
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as net.AddressInfo;
  const connect = (): net.Socket => net.connect(port, "127.0.0.1").on("error", () => undefined);
  return {
    reader,
    accepted,
    connect,
    stop: (): void => {
      server.closeAllConnections();
      server.close();
    },
  };
}

const call = (n: number): string => `GET /${n} HTTP/1.1\r\nhost: a\r\n\r\n`;
const calls = (count: number): string => Array.from({ length: count }, (_, n) => call(n)).join("");

describe("a paced reader", () => {
  // Guards against requests sent ahead that take the memory of the process.
  it("opens a few requests of a connection at a time, and each of them in the end", async () => {
    const waiting: http.ServerResponse[] = [];
    const urls: string[] = [];
    const { connect, reader, stop } = await open((req, res) => {
      urls.push(req.url ?? "");
      waiting.push(res);
    });
    const client = connect().resume();
    client.write(calls(100));
    await timers.setTimeout(SETTLED_MS);
    expect(waiting).length(pacedReader.MAX_OPEN);
    expect(reader.waitingCount).equal(1);
    while (urls.length < 100 || waiting.length > 0) {
      waiting.shift()?.end();
      await timers.setImmediate();
    }
    expect(urls).deep.equal(Array.from({ length: 100 }, (_, n) => `/${n}`));
    expect(reader.waitingCount).equal(0);
    client.destroy();
    stop();
  });

  // Guards against chunks of a byte that are kept as an object each while their request waits.
  it("parses little of a body before it is wanted, and then all", async () => {
    const requests: http.IncomingMessage[] = [];
    const { connect, stop } = await open((req) => requests.push(req));
    const client = connect();
    client.write(
      `POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n${"1\r\nx\r\n".repeat(9000)}0\r\n\r\n`,
    );
    await timers.setTimeout(SETTLED_MS);
    const [req] = requests;
    expect(req?.readableLength).below(2000);
    let bytes = 0;
    req?.on("data", (part: Buffer) => (bytes += part.length));
    await new Promise((resolve) => req?.once("end", resolve));
    expect(bytes).equal(9000);
    client.destroy();
    stop();
  });

  // Guards against refused bodies that are read at full speed.
  it("reads little of a connection that is being closed, and still sees its end", async () => {
    const { connect, accepted, stop } = await open((_req, res) => {
      res.writeHead(413, { connection: "close" }).end();
    });
    const client = connect();
    let text = "";
    client.on("data", (part: Buffer) => (text += part.toString()));
    client.write(`POST / HTTP/1.1\r\nhost: a\r\ncontent-length: ${BODY_BYTES}\r\n\r\n`);
    client.write(Buffer.alloc(BODY_BYTES));
    await timers.setTimeout(SETTLED_MS);
    const [socket] = accepted;
    expect(text).match(/^HTTP\/1\.1 413 /);
    expect(socket?.bytesRead).below(MOST_DISCARDED_BYTES);
    const small = connect().resume();
    small.write(`POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\n`);
    await timers.setTimeout(SETTLED_MS);
    small.end("abcde");
    await timers.setTimeout(SETTLED_MS);
    expect(accepted[1]?.destroyed).equal(true);
    client.destroy();
    stop();
  });

  // Guards against one connection that occupies the event loop.
  it("reads a connection that has used little before one that has used much", async () => {
    const order: string[] = [];
    const { connect, stop } = await open((req, res) => {
      order.push(req.headers.host ?? "");
      for (const until = performance.now() + 2; performance.now() < until;);
      res.end();
    });
    const busy = connect().resume();
    busy.write(calls(400));
    await timers.setTimeout(SETTLED_MS);
    const before = order.length;
    const calm = connect().resume();
    calm.write("GET / HTTP/1.1\r\nhost: calm\r\n\r\n");
    await new Promise((resolve) => calm.once("data", resolve));
    expect(order.indexOf("calm") - before).below(20);
    expect(order.length).below(400);
    busy.destroy();
    calm.destroy();
    stop();
  });

  // Guards against callers that wait to be accepted, one in a turn, while large bodies make each turn long.
  it("reads little of large bodies in turns that accept a connection", async () => {
    const COUNT = 60;
    let bodyBytes = 0;
    const { accepted, connect, stop } = await open((req) => {
      req.on("data", (part: Buffer) => (bodyBytes += part.length));
    });
    const clients = Array.from({ length: COUNT }, connect);
    const body = Buffer.alloc(BODY_BYTES);
    for (const client of clients) {
      client.write(`POST / HTTP/1.1\r\nhost: a\r\ncontent-length: ${BODY_BYTES}\r\n\r\n`);
      client.write(body);
    }
    while (accepted.length < COUNT) await timers.setImmediate();
    // Sixteen slices of each turn, of one read each.
    expect(bodyBytes).below(COUNT * 16 * 65_536);
    for (const client of clients) client.destroy();
    stop();
  });

  // Guards against legal bodies that wait for accepts until too many bytes wait, and are reset.
  it("closes no connection of 400 that bring a large body at the same time", async () => {
    const COUNT = 400;
    let closed = 0;
    const { connect, reader, stop } = await open((req, res) => {
      req.resume().once("end", () => res.end());
    });
    reader.onClosed = () => closed++;
    const body = Buffer.alloc(200_000);
    const answers = Array.from({ length: COUNT }, async () => {
      const client = connect();
      client.write(`POST / HTTP/1.1\r\nhost: a\r\ncontent-length: ${body.length}\r\n\r\n`);
      client.write(body);
      const answer = await new Promise((resolve) => {
        client.once("data", resolve).once("close", resolve);
      });
      client.destroy();
      return answer instanceof Buffer;
    });
    expect((await Promise.all(answers)).filter(Boolean)).length(COUNT);
    expect(closed).equal(0);
    stop();
  });

  // Guards against callers that wait to be accepted, one in a turn, while what others have sent ahead is parsed.
  it("parses little of what is sent ahead in turns that accept a connection", async () => {
    const COUNT = 300;
    let served = 0;
    const { accepted, connect, stop } = await open((_req, res) => {
      served++;
      res.end();
    });
    const clients = Array.from({ length: COUNT }, () => connect().resume());
    for (const client of clients) client.write(calls(1500));
    while (accepted.length < COUNT) await timers.setImmediate();
    // One when it arrives, and one of those that wait.
    expect(served).most(2 * COUNT + pacedReader.MAX_OPEN);
    for (const client of clients) client.destroy();
    stop();
  });

  // Guards against a caller that waits behind all that send ahead because the time in which nothing happened was charged to it.
  it("charges a connection for what it has caused and not for the time until the next turn", async () => {
    const order: string[] = [];
    const { connect, stop } = await open((req, res) => {
      const host = req.headers.host ?? "";
      order.push(host);
      if (host !== "calm") for (const until = performance.now() + 1; performance.now() < until;);
      res.end();
    });
    const calm = connect().resume();
    const calmCall = "GET / HTTP/1.1\r\nhost: calm\r\n\r\n";
    calm.write(calmCall);
    await timers.setTimeout(SETTLED_MS);
    // The last two wait for a turn that accepts no connection, and end it.
    calm.write(calmCall.repeat(4));
    await timers.setTimeout(15 * SETTLED_MS);
    const busy = Array.from({ length: 40 }, () => connect().resume());
    for (const client of busy) client.write(calls(60));
    await timers.setTimeout(SETTLED_MS);
    const before = order.length;
    calm.write(calmCall);
    await new Promise((resolve) => calm.once("data", resolve));
    expect(order.lastIndexOf("calm") - before).below(20);
    expect(order.length).below(40 * 60);
    for (const client of [calm, ...busy]) client.destroy();
    stop();
  });

  // Guards against connections that keep thousands of fields of a request that was answered while they wait to be read.
  it("keeps no fields of a request that has been answered", async () => {
    const requests: http.IncomingMessage[] = [];
    const { connect, stop } = await open((req, res) => {
      expect(req.headersDistinct).property("k99");
      requests.push(req);
      res.end();
    });
    const client = connect().resume();
    const fields = Array.from({ length: 100 }, (_, n) => `k${n}:\r\n`).join("");
    client.write(`POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\n${fields}\r\n`);
    await timers.setTimeout(SETTLED_MS);
    expect(requests.map((r) => r.rawHeaders.length)).deep.equal([0]);
    expect(requests.map((r) => [r.headers, r.headersDistinct])).deep.equal([[{}, {}]]);
    client.destroy();
    stop();
  });

  // Guards against heads of empty fields, of which Node.js takes four times as many bytes as of others.
  it("refuses a head that is too long though its fields are short", async () => {
    const { connect, stop } = await open((_req, res) => res.end("served"));
    const fields = (bytes: number): string => "k:\r\n".repeat(bytes / 4);
    const answers: string[] = [];
    for (const bytes of [pacedReader.MAX_HEAD_BYTES - 100, pacedReader.MAX_HEAD_BYTES + 8192]) {
      const client = connect();
      client.on("data", (part: Buffer) => answers.push(part.toString().slice(9, 12)));
      client.write(`GET / HTTP/1.1\r\nhost: a\r\n${fields(bytes)}`);
      if (bytes < pacedReader.MAX_HEAD_BYTES) client.write("\r\n");
      await timers.setTimeout(5 * SETTLED_MS);
      client.destroy();
    }
    stop();
    expect(answers).deep.equal(["200", "400"]);
  });

  // Guards against the memory of what many connections bring and nobody reads, and against closing those that bring little.
  it("closes the connections that have sent ahead and waited longest once too many bytes wait", async () => {
    const { connect, accepted, reader, stop } = await open(() => undefined);
    let closed = 0;
    reader.onClosed = () => closed++;
    const small = connect();
    small.write(calls(pacedReader.MAX_OPEN + 1));
    await timers.setTimeout(SETTLED_MS);
    const first = connect();
    first.write(calls(8000));
    await timers.setTimeout(SETTLED_MS);
    const clients = Array.from({ length: 400 }, () => connect());
    for (const client of clients) client.write(calls(8000));
    for (let i = 0; i < 50 && closed === 0; i++) await timers.setTimeout(SETTLED_MS);
    expect([accepted[0]?.destroyed, accepted[1]?.destroyed]).deep.equal([false, true]);
    expect(closed).above(0);
    expect(reader.waitingCount).within(100, 400);
    for (const client of [small, first, ...clients]) client.destroy();
    stop();
  });

  it("closes the connection that has waited longest once too many wait with little", async () => {
    const { connect, accepted, reader, stop } = await open(() => undefined);
    let closed = 0;
    reader.onClosed = () => closed++;
    const clients: net.Socket[] = [];
    for (let n = 0; n < 1100; n++) {
      const client = connect();
      client.write(calls(pacedReader.MAX_OPEN + 1));
      clients.push(client);
      if (n % 100 === 0) await timers.setTimeout(SETTLED_MS);
    }
    for (let i = 0; i < 50 && closed === 0; i++) await timers.setTimeout(SETTLED_MS);
    expect(accepted[0]?.destroyed).equal(true);
    expect(closed).within(1, 200);
    for (const client of clients) client.destroy();
    stop();
  });
});
