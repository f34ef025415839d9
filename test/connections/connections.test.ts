import * as http from "node:http";
import * as net from "node:net";
import * as timers from "node:timers/promises";
import * as chai from "chai";
import * as addresses from "../../src/host/address.js";
import * as clock from "../../src/host/clock.js";
import * as pacedReader from "../../src/host/reading/paced-reader.js";
import * as fixture from "./fixture.js";

const { expect } = chai;

const WORK_MS = 40;
/** The head of the response to this path is sent at once. */
const FLUSHED = "/flushed";
/** The response to this path is sent as soon as the request is served. */
const AT_ONCE = "/at-once";
const request = (path: string): string => `GET ${path} HTTP/1.1\r\nhost: a.example\r\n\r\n`;

/** A server that answers each request that it takes after a while, and a caller's raw connection to it. */
async function open() {
  const connections = fixture.create();
  const served: string[] = [];
  const unanswered: (string | undefined)[] = [];
  connections.onUnanswered = (res) => unanswered.push(res.req.url);
  const sockets = new Set<net.Socket>();
  const server = http.createServer(
    { requireHostHeader: false },
    connections.listener((req, res) => {
      sockets.add(req.socket);
      const path = req.url ?? "";
      served.push(path);
      const answer = `answer to ${path}\n`;
      if (path === AT_ONCE) {
        res.end(answer);
        return;
      }
      if (path === FLUSHED) res.writeHead(200, { "content-length": answer.length }).flushHeaders();
      setTimeout(() => res.end(answer), WORK_MS);
    }),
  );
  connections.install(server);
  new pacedReader.PacedReader(clock.system, connections).install(server);
  const address = addresses.parse(await addresses.listen(server, "127.0.0.1:0"));
  const caller = net.connect({ ...address, allowHalfOpen: true });
  let received = "";
  let isEnded = false;
  caller.on("data", (part: Buffer) => (received += part.toString()));
  caller.on("end", () => (isEnded = true));
  return {
    served,
    unanswered,
    send: (...paths: readonly string[]): boolean => caller.write(paths.map(request).join("")),
    sendText: (text: string): boolean => caller.write(text),
    received: (): string => received,
    connect: (): net.Socket => net.connect(address).on("error", () => undefined),
    drain: (): void => {
      connections.drain("stopping");
    },
    sockets: (): ReadonlySet<net.Socket> => sockets,
    leave: (): void => {
      caller.end();
    },
    stopAll: (): Promise<void> => connections.stop(server),
    close: (): void => {
      for (const s of sockets) connections.close(s, "stopping");
    },
    /** The paths whose responses arrived, each with whether it announced the close. */
    answers: () => {
      const heads = received.split("HTTP/1.1 200 OK").slice(1);
      return heads.map((text) => [
        /answer to (\S+)/.exec(text)?.[1],
        /connection: close/i.test(text),
      ]);
    },
    isEnded: (): boolean => isEnded,
    stop: (): void => {
      caller.destroy();
      server.close();
      server.closeAllConnections();
    },
  };
}

describe("a server that stops", () => {
  // Guards against requests that arrive late in a stop, run and are cut off.
  it("answers the calls that it has taken before it stops, and takes no more", async () => {
    const host = await open();
    const other = host.connect();
    host.send("/1");
    await timers.setTimeout(WORK_MS / 2);
    let isStopped = false;
    const stopped = host.stopAll().then(() => (isStopped = true));
    await timers.setTimeout(WORK_MS / 4);
    other.write(request("/2"));
    expect(isStopped).equal(false);
    await stopped;
    expect([host.served, host.answers(), host.isEnded()]).deep.equal([
      ["/1"],
      [["/1", true]],
      true,
    ]);
    other.destroy();
    host.stop();
  });

  it("refuses a request of which only a part has arrived", async () => {
    const host = await open();
    host.sendText("GET /1 HTTP/1.1\r\nhost: a");
    await timers.setTimeout(WORK_MS / 2);
    const stopped = host.stopAll();
    await timers.setTimeout(WORK_MS / 2);
    expect(host.received()).match(/^HTTP\/1\.1 503 /);
    expect([host.served, host.isEnded()]).deep.equal([[], true]);
    host.stop();
    await stopped;
  });
});

describe("a caller's connection that is closed", () => {
  it("ends after the responses to all requests that were pipelined before", async () => {
    const host = await open();
    host.send("/1", "/2", "/3");
    await timers.setTimeout(WORK_MS / 2);
    host.close();
    await timers.setTimeout(3 * WORK_MS);
    expect(host.answers()).deep.equal([
      ["/1", false],
      ["/2", false],
      ["/3", true],
    ]);
    expect(host.isEnded()).equal(true);
    host.stop();
  });

  it("still serves a request that arrives before the close is announced", async () => {
    const host = await open();
    host.send("/1");
    await timers.setTimeout(WORK_MS / 4);
    host.close();
    host.send("/2");
    await timers.setTimeout(3 * WORK_MS);
    expect(host.answers()).deep.equal([
      ["/1", false],
      ["/2", true],
    ]);
    host.stop();
  });

  it("does not serve a request that arrives after its end", async () => {
    const host = await open();
    host.send(FLUSHED);
    await timers.setTimeout(WORK_MS / 2);
    host.close();
    await timers.setTimeout(2 * WORK_MS);
    host.send("/2");
    await timers.setTimeout(2 * WORK_MS);
    expect([host.served, host.answers()]).deep.equal([[FLUSHED], [[FLUSHED, false]]]);
    expect(host.isEnded()).equal(true);
    host.stop();
  });

  it("is reported with the requests that are not answered when this side closes it", async () => {
    const host = await open();
    host.send("/1");
    await timers.setTimeout(WORK_MS / 4);
    for (const socket of host.sockets()) socket.destroy();
    await timers.setTimeout(WORK_MS / 4);
    expect(host.unanswered).deep.equal(["/1"]);
    host.stop();
  });

  it("is not reported when its client has closed it", async () => {
    const host = await open();
    host.send("/1");
    await timers.setTimeout(WORK_MS / 4);
    host.leave();
    await timers.setTimeout(2 * WORK_MS);
    expect(host.unanswered).deep.equal([]);
    host.stop();
  });

  // Guards against responses that say nothing of a close which follows them.
  it("announces the close in a response that is sent at once", async () => {
    const host = await open();
    host.drain();
    host.send(AT_ONCE);
    await timers.setTimeout(WORK_MS);
    expect([host.answers(), host.isEnded()]).deep.equal([[[AT_ONCE, true]], true]);
    host.stop();
  });

  // Guards against requests that run and get no answer because of what their client sends behind them.
  const BEHIND = {
    "a request without a host": "GET /2 HTTP/1.1\r\n\r\n",
    "a request for a tunnel": "CONNECT a:1 HTTP/1.1\r\nhost: a\r\n\r\n",
    "one with an unknown expectation": "GET /2 HTTP/1.1\r\nhost: a\r\nexpect: x\r\n\r\n",
    "no request": "\0\0\r\n\r\n",
  };
  for (const [what, text] of Object.entries(BEHIND))
    it(`still answers the requests before ${what}, and runs none after it`, async () => {
      const host = await open();
      host.sendText(`${request("/1")}${text}${request("/3")}`);
      await timers.setTimeout(3 * WORK_MS);
      expect([host.served, host.answers()[0]?.[0], host.isEnded()]).deep.equal([
        ["/1"],
        "/1",
        true,
      ]);
      host.stop();
    });

  // Guards against streams that go on though their caller has left.
  it("sees that its caller leaves who has sent its last request ahead", async () => {
    const host = await open();
    let isGone = false;
    host.sendText(`${request(FLUSHED)}GET /2 HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n`);
    await timers.setTimeout(WORK_MS / 4);
    for (const socket of host.sockets()) socket.once("end", () => (isGone = true));
    host.leave();
    await timers.setTimeout(WORK_MS / 4);
    expect(isGone).equal(true);
    host.stop();
  });
});
