import type * as net from "node:net";
import * as timers from "node:timers/promises";
import * as chai from "chai";
import * as clock from "../../../src/host/clock.js";
import * as catalog from "../../../src/serving/catalog.js";
import * as dispatcherFixture from "../dispatcher-fixture.js";
import * as fakeEndpointDaemon from "../fake-endpoint-daemon.js";
import * as fixtures from "../fixtures.js";
import * as managedEngines from "../managed-engines.js";

const { expect } = chai;

/** Milliseconds that a run takes, and from its beginning to bytes that belong to no request. */
const RUN_MS = 40;
const STRAY_MS = 10;
const PROMISES = [408, 421, 429, 503];

/** What the caller got, and how often the request ran. */
interface Outcome {
  readonly seen: readonly string[];
  readonly runs: number;
}

type Kind = "a plain service" | "an engine";
const KINDS: readonly Kind[] = ["a plain service", "an engine"];

function response(status: number, headers: Readonly<Record<string, string>>, body = ""): string {
  const all = { ...headers, "content-length": String(body.length) };
  const lines = Object.entries(all).map(([name, value]) => `${name}: ${value}\r\n`);
  return `HTTP/1.1 ${status} Status\r\n${lines.join("")}\r\n${body}`;
}

const REJECTION = response(503, { "test-id": "r1", "test-not-run": "1" });
const ANSWER = response(200, fixtures.good(), "id: 1\ndata: x\n\n");

/** How the only worker treats the nth request that reaches it, on a connection with the state `kept`. */
type Treat = (n: number, socket: net.Socket, kept: Map<net.Socket, string>) => "run" | "reject";

/** Serves one request that may run once, before one worker. */
async function serve(kind: Kind, treat: Treat, answer: string): Promise<Outcome> {
  let arrivals = 0;
  let runs = 0;
  const kept = new Map<net.Socket, string>();
  const worker = await fixtures.rawServer((socket) => {
    const n = arrivals++;
    const verdict = treat(n, socket, kept);
    if (verdict === "reject") {
      socket.write(REJECTION);
      return;
    }
    runs++;
    setTimeout(() => socket.write(answer), RUN_MS);
  });
  const outcome =
    kind === "an engine" ? await beforeEngine(worker.address) : await beforePlain(worker.address);
  // A send that follows a wrong conclusion may still be under way.
  await timers.setTimeout(2 * RUN_MS);
  worker.close();
  return { seen: outcome, runs };
}

async function beforePlain(address: string): Promise<readonly string[]> {
  const e = fixtures.endpoint("e1", address);
  const setup = dispatcherFixture.create({
    ...catalog.EMPTY,
    config: fixtures.CONFIG,
    endpoints: new Map([[e.id, e]]),
  });
  const { response: res, seen } = dispatcherFixture.recorded();
  await setup.dispatcher.serve(fixtures.request(), res);
  setup.close();
  return seen;
}

async function beforeEngine(address: string): Promise<readonly string[]> {
  const daemon = await fakeEndpointDaemon.openGranting("i1", "m/a");
  const { at, service } = managedEngines.catalogOf([fixtures.endpoint("i1", address)]);
  const setup = dispatcherFixture.create(at, () => daemon.address, clock.system);
  setup.known.refresh();
  await managedEngines.eventually(() =>
    setup.known.views(service).every((v) => v.holdings !== undefined),
  );
  const { response: res, seen } = dispatcherFixture.recorded();
  const route: catalog.Route = { ...fixtures.ROUTE, kind: "stream", resumable: false };
  await setup.dispatcher.serve(dispatcherFixture.streamRequest(service, route, 1500), res);
  setup.close();
  daemon.close();
  return seen;
}

/** Whether the caller was told that the request was not run, and will not be. */
function isPromise(seen: readonly string[]): boolean {
  return PROMISES.some((status) => seen.some((s) => s.endsWith(` ${status}`)));
}

/** Rejects the first request; its copy follows where the next response on that connection is expected. */
const repeatRejection: Treat = (n, socket, kept) => {
  if (n === 0) {
    kept.set(socket, REJECTION);
    return "reject";
  }
  const copy = kept.get(socket);
  kept.delete(socket);
  if (copy !== undefined) socket.write(copy);
  return "run";
};

/** Runs each request; bytes that name no request arrive meanwhile. */
const withStray =
  (stray: string): Treat =>
  (_n, socket) => {
    setTimeout(() => socket.write(stray), STRAY_MS);
    return "run";
  };

const run: Treat = () => "run";

describe("a promise that a request was not run", () => {
  it("does not rest on a late copy of the rejection of an earlier send", async () => {
    for (const kind of KINDS) {
      const { seen, runs } = await serve(kind, repeatRejection, ANSWER);
      expect([kind, runs, isPromise(seen)]).deep.equal([kind, 1, false]);
    }
  });

  it("does not rest on a rejection that names no request", async () => {
    for (const kind of KINDS) {
      for (const stray of [response(503, { "test-not-run": "1" }), response(421, {})]) {
        const { seen, runs } = await serve(kind, withStray(stray), ANSWER);
        expect([kind, runs, seen]).deep.equal([kind, 1, ["refuse 502"]]);
      }
    }
  });

  it("does not rest on a claim beside a success", async () => {
    for (const kind of KINDS) {
      const claim = response(200, { ...fixtures.good(), "test-not-run": "1" });
      const { seen, runs } = await serve(kind, run, claim);
      expect([kind, runs, seen]).deep.equal([kind, 1, ["refuse 502"]]);
    }
  });

  it("does not rest on an answer that does not state it", async () => {
    for (const kind of KINDS) {
      for (const status of [408, 429, 503]) {
        for (const headers of [fixtures.good(), { "test-id": "r1" }]) {
          const { seen, runs } = await serve(kind, run, response(status, headers));
          expect([kind, status, runs, seen]).deep.equal([kind, status, 1, ["refuse 502"]]);
        }
      }
    }
  });
});
