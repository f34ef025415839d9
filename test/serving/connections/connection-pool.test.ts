import type * as net from "node:net";
import * as timers from "node:timers/promises";
import * as chai from "chai";
import * as clock from "../../../src/host/clock.js";
import * as connectionPool from "../../../src/serving/connections/connection-pool.js";
import * as exchange from "../../../src/serving/exchange.js";
import * as upstream from "../../../src/serving/upstream.js";
import * as fixtures from "../fixtures.js";

const { expect } = chai;

const SEND = () => ({ instance: "e", rank: 1, leftMs: 500 });
const RUN_MS = 20;
/** Connections that a pool may have to a service of so many. */
const LIMIT = 2;
const SERVICE = { ...fixtures.SERVICE, connections: 8 * LIMIT };
const ANSWER = "HTTP/1.1 200 OK\r\ntest-id: r1\r\ntest-signed: 1\r\ncontent-length: 2\r\n\r\nok";

/** A worker, and the requests sent to it; `carried` are the connections that carried them before. */
async function open(answer: (socket: net.Socket) => void = (s) => s.write(ANSWER)) {
  const sockets: net.Socket[] = [];
  const worker = await fixtures.rawServer((socket) => {
    sockets.push(socket);
    setTimeout(() => {
      answer(socket);
    }, RUN_MS);
  });
  const pools = new upstream.Upstream(fixtures.WIRE, clock.system);
  const endpoint = fixtures.endpoint("e", worker.address);
  const used: number[] = [];
  const send = async (carried: ReadonlySet<number>, gate: Partial<exchange.Gate> = {}) => {
    const sent = await pools.send(
      fixtures.request({ service: SERVICE }),
      endpoint,
      SEND,
      new AbortController().signal,
      {
        ...exchange.ALWAYS_OPEN,
        carried,
        mayStart: (use) => {
          if (use) used.push(use.connection);
          return true;
        },
        ...gate,
      },
    );
    if (sent.kind === "answer") await upstream.discard(sent.body);
    return sent.kind;
  };
  return {
    endpoint,
    sockets,
    used,
    send,
    pools,
    close: (): void => {
      pools.close();
      worker.close();
    },
  };
}

describe("a pool of connections", () => {
  it("sends a request over connections that have not carried it, within its limit", async () => {
    const host = await open();
    const carried = new Set<number>();
    for (let n = 0; n < 4; n++) {
      expect(await host.send(carried)).equal("answer");
      for (const number of host.used) carried.add(number);
    }
    await timers.setTimeout(RUN_MS);
    expect(new Set(host.used).size).equal(4);
    expect(host.sockets.filter((s) => !s.destroyed).length).most(LIMIT);
    host.close();
  });

  it("uses one connection again for other requests", async () => {
    const host = await open();
    for (let n = 0; n < 4; n++) {
      await host.send(new Set());
      await timers.setTimeout(RUN_MS);
    }
    expect(new Set(host.used).size).equal(1);
    host.close();
  });

  it("sends waiting requests in order as connections become free", async () => {
    const host = await open();
    const sent = await Promise.all(Array.from({ length: 6 }, () => host.send(new Set())));
    expect(new Set(sent)).deep.equal(new Set(["answer"]));
    expect(new Set(host.used).size).equal(LIMIT);
    host.close();
  });

  it("sends waiting requests after a withheld one and after broken connections", async () => {
    let broken = 0;
    const host = await open((s) => {
      if (broken++ < LIMIT) s.destroy();
      else s.write(ANSWER);
    });
    const first = [host.send(new Set()), host.send(new Set(), { mayStart: () => false })];
    const rest = Array.from({ length: 4 }, () => host.send(new Set()));
    expect((await Promise.all(first))[1]).equal("withheld");
    expect((await Promise.all(rest)).filter((kind) => kind === "answer").length).least(3);
    host.close();
  });

  it("ends waiting requests when it is destroyed, and after a failed connect", async () => {
    const host = await open(() => undefined);
    const sent = Array.from({ length: 4 }, () => host.send(new Set()));
    await timers.setTimeout(RUN_MS);
    host.pools.close();
    expect((await Promise.all(sent)).sort()).deep.equal(["unknown", "unknown", "unsent", "unsent"]);
    host.close();
    const gone = await open();
    gone.close();
    const refused = await Promise.all(Array.from({ length: 4 }, () => gone.send(new Set())));
    expect(new Set(refused)).deep.equal(new Set(["unsent"]));
    gone.close();
  });

  it("can be closed again while some of its connections are closed already", async () => {
    const host = await open();
    const pool = new connectionPool.ConnectionPool(`http://${host.endpoint.address}`, LIMIT, {});
    const transfer = new exchange.Exchange(new AbortController().signal, exchange.ALWAYS_OPEN);
    pool.dispatch({ method: "GET", path: "/" }, transfer, new Set());
    await transfer.head;
    await transfer.pump(() => undefined);
    await pool.close();
    await pool.close();
    host.close();
  });

  it("serves the requests that wait when its connections are replaced", async () => {
    const host = await open();
    const sent = Array.from({ length: 4 }, () => host.send(new Set()));
    host.pools.replaceConnections(host.endpoint.id);
    expect(new Set(await Promise.all(sent))).deep.equal(new Set(["answer"]));
    host.close();
  });
});
