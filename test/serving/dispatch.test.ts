import type * as http from "node:http";
import * as net from "node:net";
import * as chai from "chai";
import * as clock from "../../src/host/clock.js";
import type * as callerRequest from "../../src/serving/caller-request.js";
import * as catalog from "../../src/serving/catalog.js";
import type * as progress from "../../src/serving/progress.js";
import * as dispatcherFixture from "./dispatcher-fixture.js";
import * as fixtures from "./fixtures.js";

const { expect } = chai;

/** What the caller received. */
interface Seen {
  status: number;
  body: string;
  retryAfterMs: number | undefined;
  end: "whole" | "broken" | "open";
}

function callerResponse(disconnected: AbortSignal, seen: Seen): progress.CallerResponse {
  return {
    disconnected,
    writeHead: (status) => {
      seen.status = status;
    },
    write: (bytes) => {
      seen.body += bytes.toString();
      return undefined;
    },
    end: () => {
      seen.end = "whole";
    },
    abort: () => {
      seen.end = "broken";
    },
    sendWhole: (status, _headers, body) => {
      seen.status = status;
      seen.body = body.toString();
      seen.end = "whole";
    },
    refuse: (status, _message, retryAfterMs) => {
      seen.status = status;
      seen.retryAfterMs = retryAfterMs;
      seen.end = "whole";
    },
  };
}

function nothingSeen(): Seen {
  return { status: 0, body: "", retryAfterMs: undefined, end: "open" };
}

function catalogOf(addresses: readonly string[]): catalog.Catalog {
  const list = addresses.map((address, i) => fixtures.endpoint(`e${i}`, address));
  return {
    ...catalog.EMPTY,
    config: fixtures.CONFIG,
    endpoints: new Map(list.map((e) => [e.id, e])),
  };
}

/** Serves one request on a service with a worker at each address. */
async function serve(
  addresses: readonly string[],
  overrides: Partial<callerRequest.CallerRequest> = {},
  gone: AbortSignal = new AbortController().signal,
): Promise<Seen> {
  const setup = dispatcherFixture.create(catalogOf(addresses));
  const seen = nothingSeen();
  try {
    await setup.dispatcher.serve(fixtures.request(overrides), callerResponse(gone, seen));
  } finally {
    setup.close();
  }
  return seen;
}

const STREAM: catalog.Route = { ...fixtures.ROUTE, kind: "stream", resumable: true };
/** Milliseconds that the end of a process may take on a busy machine. */
const ENDING_MS = 300;
/** Milliseconds well below the silence after which a send is repeated elsewhere, and well above what an answer takes. */
const SILENT_MS = 600;
const IDEMPOTENT: catalog.Route = { ...fixtures.ROUTE, kind: "idempotent" };

/** Starts a worker whose stream has neither a length nor chunks, and ends with its connection. */
function rawStream(send: (socket: net.Socket) => void) {
  return fixtures.rawWorker((socket) => {
    socket.write("HTTP/1.1 200 OK\r\ntest-id: r1\r\ntest-signed: 1\r\n\r\n");
    send(socket);
  });
}

function event(id: number): string {
  return `id: ${id}\ndata: x${id}\n\n`;
}

/**
 * Serves a stream without a length whose worker announces that it leaves, and closes the connection between two events; `ends`
 * says whether its process ends then. Another worker can continue the stream. Resolves to the body and the end that the caller sees.
 */
async function streamOfLeaving(
  { ends }: { readonly ends: boolean },
  route: catalog.Route,
): Promise<readonly string[]> {
  const worker = await rawStream((s) => {
    const leaving = { ...fixtures.endpoint("e0", worker.address), leaving: true };
    current = { ...current, endpoints: new Map([...current.endpoints, ["e0", leaving]]) };
    if (ends) worker.close();
    s.end(event(1));
  });
  const other = await rawStream((s) => s.end(`${event(2)}${event(3)}`));
  let current = catalogOf([worker.address, other.address]);
  const setup = dispatcherFixture.create(() => current);
  const seen = nothingSeen();
  const res = callerResponse(new AbortController().signal, seen);
  await setup.dispatcher.serve(fixtures.request({ route }), res);
  setup.close();
  worker.close();
  other.close();
  return [seen.body, seen.end];
}

describe("dispatch", () => {
  it("relays a successful answer", async () => {
    const worker = await fixtures.worker((_req, res) => {
      res.writeHead(200, fixtures.good());
      res.end("fine");
    });
    const seen = await serve([worker.address]);
    worker.close();
    expect(seen).deep.equal({ status: 200, body: "fine", retryAfterMs: undefined, end: "whole" });
  });

  it("tries another endpoint after one that did not run the request", async () => {
    let runs = 0;
    const full = await fixtures.worker((_req, res) => {
      res.writeHead(503, { "test-id": "r1", "test-not-run": "1" });
      res.end();
    });
    const free = await fixtures.worker((_req, res) => {
      runs++;
      res.writeHead(200, fixtures.good());
      res.end("fine");
    });
    const seen = await serve([full.address, free.address]);
    full.close();
    free.close();
    expect([seen.status, runs]).deep.equal([200, 1]);
  });

  it("does not keep sending a share of a plain service's calls to an address that is another worker's", async () => {
    let refused = 0;
    const stranger = await fixtures.worker((_req, res) => {
      refused++;
      res.writeHead(421, { "test-id": "r1" });
      res.end();
    });
    const own = await fixtures.worker((_req, res) => {
      res.writeHead(200, fixtures.good());
      res.end("fine");
    });
    const setup = dispatcherFixture.create(catalogOf([stranger.address, own.address]));
    for (let i = 0; i < 40; i++) {
      const res = callerResponse(new AbortController().signal, nothingSeen());
      await setup.dispatcher.serve(fixtures.request(), res);
    }
    setup.close();
    stranger.close();
    own.close();
    expect(refused).most(4);
  });

  it("does not resend a request that may have run and must not be repeated", async () => {
    let arrivals = 0;
    const breaks = await fixtures.rawWorker((s) => {
      arrivals++;
      s.resetAndDestroy();
    });
    const seen = await serve([breaks.address, breaks.address]);
    breaks.close();
    expect([seen.status, seen.retryAfterMs, arrivals]).deep.equal([502, undefined, 1]);
  });

  it("retries a repeatable request as often as the route allows", async () => {
    let arrivals = 0;
    const breaks = await fixtures.rawWorker((s) => {
      arrivals++;
      s.resetAndDestroy();
    });
    const seen = await serve([breaks.address, breaks.address, breaks.address], {
      route: IDEMPOTENT,
    });
    breaks.close();
    expect([seen.status, arrivals]).deep.equal([502, 2]);
  });

  it("sends a repeatable request elsewhere when an endpoint does not answer", async () => {
    const silent = await fixtures.rawWorker(() => undefined);
    const good = await fixtures.worker((_req, res) => {
      res.writeHead(200, fixtures.good());
      res.end("fine");
    });
    const began = performance.now();
    const seen = await serve([silent.address, good.address], { route: IDEMPOTENT });
    silent.close();
    good.close();
    expect(seen.status).equal(200);
    expect(performance.now() - began).below(800);
  });

  it("opens new connections when the existing ones are dead", async () => {
    let silent = false;
    let unanswered = 0;
    const answerOk = (res: http.ServerResponse): void => {
      res.writeHead(200, fixtures.good());
      res.end("fine");
    };
    const oldSockets = new WeakSet<net.Socket>();
    const worker = await fixtures.worker((req, res) => {
      // Connections opened before the failure no longer pass anything on.
      if (silent && oldSockets.has(req.socket)) {
        unanswered++;
        return;
      }
      if (!silent) oldSockets.add(req.socket);
      setTimeout(() => {
        answerOk(res);
      }, 20);
    });
    const current = catalogOf([worker.address]);
    const setup = dispatcherFixture.create(current);
    const serveOne = async (): Promise<number> => {
      const seen = nothingSeen();
      const res = callerResponse(new AbortController().signal, seen);
      const now = performance.now();
      const route = { ...IDEMPOTENT, targetMs: SILENT_MS * 2, timeoutMs: 9000 };
      await setup.dispatcher.serve(fixtures.request({ route, dueAt: now + 9000 }), res);
      return seen.status;
    };
    try {
      const together = (n: number): Promise<readonly number[]> =>
        Promise.all(Array.from({ length: n }, serveOne));
      await together(8);
      silent = true;
      // A request may open a new connection; the test needs one that was sent on an old connection.
      while (unanswered === 0) await together(1);
      const began = performance.now();
      expect(new Set(await together(8))).deep.equal(new Set([200]));
      expect(performance.now() - began).below(SILENT_MS);
    } finally {
      setup.close();
      worker.close();
    }
  });

  it("refuses at once, with a time to retry after, when there is no endpoint", async () => {
    const began = performance.now();
    const seen = await serve([]);
    expect(seen.status).equal(503);
    expect(seen.retryAfterMs).above(0).below(400);
    expect(performance.now() - began).below(fixtures.ROUTE.targetMs / 4 + 60);
  });

  it("relays an endpoint's own failure", async () => {
    const worker = await fixtures.worker((_req, res) => {
      res.writeHead(500, fixtures.good());
      res.end("sorry");
    });
    const seen = await serve([worker.address]);
    worker.close();
    expect([seen.status, seen.body]).deep.equal([500, "sorry"]);
  });

  it("answers 504 at the deadline and closes the connection to the endpoint", async () => {
    let cut = false;
    const slow = await fixtures.worker((_req, res) => {
      res.on("close", () => {
        cut = true;
      });
    });
    const now = performance.now();
    const seen = await serve([slow.address], { dueAt: now + 150 });
    await clock.sleep(clock.system, 50);
    slow.close();
    expect([seen.status, cut]).deep.equal([504, true]);
  });

  it("resumes a stream that breaks in the middle of an event", async () => {
    const resumeIds: (string | undefined)[] = [];
    const breaks = await fixtures.worker((_req, res) => {
      res.writeHead(200, fixtures.good());
      res.write(`${event(1)}${event(2)}id: 3\nda`);
      setTimeout(() => res.destroy(), 20);
    });
    const other = await fixtures.worker((req, res) => {
      resumeIds.push(req.headers["last-event-id"]?.toString());
      res.writeHead(200, fixtures.good());
      res.end(`${event(2)}${event(3)}${event(4)}`);
    });
    const seen = await serve([breaks.address, other.address], { route: STREAM });
    breaks.close();
    other.close();
    expect(resumeIds).deep.equal(["2"]);
    expect(seen.body).equal([1, 2, 3, 4].map(event).join(""));
    expect(seen.end).equal("whole");
  });

  it("resumes a stream without length or chunks whose connection closes inside an event", async () => {
    const breaks = await rawStream((s) => s.end(`${event(1)}id: 2\nda`));
    const other = await rawStream((s) => s.end(`${event(2)}${event(3)}`));
    const seen = await serve([breaks.address, other.address], { route: STREAM });
    breaks.close();
    other.close();
    expect([seen.body, seen.end]).deep.equal([[1, 2, 3].map(event).join(""), "whole"]);
  });

  it("breaks off a stream in chunks that end properly inside an event", async () => {
    const breaks = await fixtures.worker((_req, res) => {
      res.writeHead(200, fixtures.good());
      res.end(`${event(1)}id: 2\n`);
    });
    const route = { ...STREAM, resumable: false };
    const seen = await serve([breaks.address], { route });
    breaks.close();
    expect([seen.body, seen.end]).deep.equal([event(1), "broken"]);
  });

  it("passes on a JSON document that answers a stream request", async () => {
    const worker = await fixtures.worker((_req, res) => {
      res.writeHead(200, { ...fixtures.good(), "content-type": "application/json" });
      res.end('{"text":"whole"}');
    });
    const seen = await serve([worker.address], { route: STREAM });
    worker.close();
    expect([seen.body, seen.end]).deep.equal(['{"text":"whole"}', "whole"]);
  });

  it("does not take a connection closed before the first event for a whole stream", async () => {
    const breaks = await rawStream((s) => s.end());
    const route = { ...STREAM, resumable: false };
    const seen = await serve([breaks.address], { route });
    breaks.close();
    expect(seen.status).equal(502);
  });

  it("resumes a stream whose worker crashes between two events and so closes the connection", async () => {
    const crashes = await rawStream((s) => {
      crashes.close();
      s.end(event(1));
    });
    const other = await rawStream((s) => s.end(`${event(2)}${event(3)}`));
    const seen = await serve([crashes.address, other.address], { route: STREAM });
    other.close();
    expect([seen.body, seen.end]).deep.equal([[1, 2, 3].map(event).join(""), "whole"]);
  });

  it("does not pass on a call's answer without a length from a worker that crashed", async () => {
    const crashes = await rawStream((s) => {
      crashes.close();
      s.end("the beginning of an ans");
    });
    const seen = await serve([crashes.address]);
    expect([seen.status, seen.body]).deep.equal([502, ""]);
  });

  it("does not pass on such an answer where the worker's next incarnation is registered meanwhile", async () => {
    let current = catalogOf([]);
    const register = (startedAt: number): void => {
      const e = fixtures.endpoint(`w#${startedAt}`, crashes.address);
      current = { ...current, endpoints: new Map([["w", e]]) };
    };
    const crashes = await rawStream((s) => {
      register(2);
      crashes.close();
      s.end("the beginning of an ans");
    });
    register(1);
    const setup = dispatcherFixture.create(() => current);
    const seen = nothingSeen();
    const res = callerResponse(new AbortController().signal, seen);
    await setup.dispatcher.serve(fixtures.request({}), res);
    setup.close();
    expect([seen.status, seen.body]).deep.equal([502, ""]);
  });

  it("does not end a stream as complete when its leaving worker has ended", async () => {
    expect(await streamOfLeaving({ ends: true }, { ...STREAM, resumable: false })).deep.equal([
      event(1),
      "broken",
    ]);
    expect(await streamOfLeaving({ ends: true }, STREAM)).deep.equal([
      [1, 2, 3].map(event).join(""),
      "whole",
    ]);
  });

  // Guards against a stream that looks complete because its worker, which has ended, could still be connected to.
  it("does not end a stream as complete when its worker ends slowly", async () => {
    const sockets: net.Socket[] = [];
    const worker = await fixtures.listen(
      net.createServer((s) => {
        // The kernel goes on accepting connections, which no process reads any more.
        if (sockets.push(s) > 1) return;
        s.once("data", () => {
          s.end(`HTTP/1.1 200 OK\r\ntest-id: r1\r\ntest-signed: 1\r\n\r\n${event(1)}`);
          setTimeout(() => {
            for (const each of sockets) each.destroy();
            worker.close();
          }, ENDING_MS);
        });
      }),
    );
    const seen = await serve([worker.address], { route: { ...STREAM, resumable: false } });
    expect([seen.body, seen.end]).deep.equal([event(1), "broken"]);
  });

  it("passes on an answer without a length of a leaving worker that still runs", async () => {
    expect(await streamOfLeaving({ ends: false }, STREAM)).deep.equal([event(1), "whole"]);
  });

  // Guards against sound requests in quarantine because their workers sent stray bytes shortly before they crashed.
  it("blames no request for a crash whose connection the host had closed before", async () => {
    const stray = "HTTP/1.1 200 OK\r\ntest-id: other\r\ncontent-length: 0\r\n\r\n";
    for (const [bytes, blamed] of [
      [stray, 0],
      ["", 1],
    ] as const) {
      const worker = await fixtures.rawWorker((s) => {
        worker.close();
        if (bytes === "") s.resetAndDestroy();
        else s.write(bytes);
      });
      const setup = dispatcherFixture.create(catalogOf([worker.address]));
      const seen = nothingSeen();
      const res = callerResponse(new AbortController().signal, seen);
      await setup.dispatcher.serve(fixtures.request({ route: IDEMPOTENT }), res);
      expect([bytes, setup.suspects.size]).deep.equal([bytes, blamed]);
      setup.close();
    }
  });

  it("ends a resumed stream that has nothing left as complete", async () => {
    const breaks = await rawStream((s) => {
      s.write(event(1));
      setTimeout(() => s.resetAndDestroy(), 20);
    });
    const other = await rawStream((s) => s.end());
    const seen = await serve([breaks.address, other.address], { route: STREAM });
    breaks.close();
    other.close();
    expect([seen.body, seen.end]).deep.equal([event(1), "whole"]);
  });

  it("joins no other run to an event of which only a part was passed on", async () => {
    const long = `id: 2\ndata: ${"x".repeat(1_500_000)}`;
    const breaks = await rawStream((s) => s.end(`${event(1)}${long}`));
    const other = await rawStream((s) => s.end(`${event(2)}${event(3)}`));
    const seen = await serve([breaks.address, other.address], { route: STREAM });
    breaks.close();
    other.close();
    expect(`${event(1)}${long}`.startsWith(seen.body)).equal(true);
    expect(seen.end).equal("broken");
  });

  it("passes on an event that is too long to be held back, and comments after the last one", async () => {
    const body = `${event(1)}id: 2\ndata: ${"x".repeat(1_500_000)}\n\n${event(3)}: end\n`;
    const worker = await rawStream((s) => s.end(body));
    const seen = await serve([worker.address], { route: { ...STREAM, resumable: false } });
    worker.close();
    expect(seen.body === body).equal(true);
    expect(seen.end).equal("whole");
  });

  it("breaks off a stream that must not be resumed, instead of ending it as if complete", async () => {
    const breaks = await fixtures.worker((_req, res) => {
      res.writeHead(200, fixtures.good());
      res.write(event(1));
      setTimeout(() => res.destroy(), 20);
    });
    const route = { ...STREAM, resumable: false };
    const seen = await serve([breaks.address, breaks.address], { route });
    breaks.close();
    expect([seen.body, seen.end]).deep.equal([event(1), "broken"]);
  });

  it("stops the endpoint when the caller leaves", async () => {
    let cutAt = Infinity;
    const slow = await fixtures.worker((_req, res) => {
      res.on("close", () => {
        cutAt = Math.min(cutAt, performance.now());
      });
    });
    const gone = new AbortController();
    let goneAt = Infinity;
    setTimeout(() => {
      goneAt = performance.now();
      gone.abort();
    }, 50);
    const seen = await serve([slow.address], {}, gone.signal);
    await clock.sleep(clock.system, 50);
    slow.close();
    expect(seen.end).equal("open");
    // Well before the deadline, which would end the send as well.
    expect(cutAt - goneAt).within(0, 300);
  });
});
