import * as http from "node:http";
import * as net from "node:net";
import * as chai from "chai";
import * as answers from "../../../src/endpoint/answer.js";
import * as service from "../../../src/endpoint/service.js";
import * as vllm from "../../../src/endpoint/vllm.js";
import * as clock from "../../../src/host/clock.js";
import * as catalog from "../../../src/serving/catalog.js";
import * as dispatcherFixture from "../dispatcher-fixture.js";
import * as fakeEndpointDaemon from "../fake-endpoint-daemon.js";
import * as fixtures from "../fixtures.js";
import * as managedEngines from "../managed-engines.js";

const { expect } = chai;

const BODY = "id: 1\ndata: x1\n\n";
/** Headers that mark the end of a body of this many bytes. */
const FRAMINGS = {
  "a length": (bytes: number): string => `content-length: ${bytes}\r\n`,
  chunks: (): string => "transfer-encoding: chunked\r\n",
  "neither length nor chunks": (): string => "",
} as const;
type Framing = keyof typeof FRAMINGS;
const NAMES = Object.keys(FRAMINGS) as readonly Framing[];

/** The ways in which a worker stops. */
const STOPS = {
  closes: (s: net.Socket): unknown => s.end(),
  resets: (s: net.Socket): unknown => s.resetAndDestroy(),
  "closes later": (s: net.Socket): unknown => setTimeout(() => s.end(), 10),
} as const;
type Stop = keyof typeof STOPS;
const WAYS = Object.keys(STOPS) as readonly Stop[];

function headOf(framing: Framing, status = 200): string {
  const fields = FRAMINGS[framing](BODY.length);
  return `HTTP/1.1 ${status} OK\r\ntest-id: r1\r\ntest-signed: 1\r\n${fields}\r\n`;
}

/** Every number of bytes of a head, up to the whole head without a body. */
const cutsOf = (head: string): readonly number[] => Array.from(head, (_, i) => i + 1);

/** What a caller got: a status and the body, and how it ended; nothing follows an end that looks whole. */
interface Got {
  readonly status: number;
  readonly body: string;
  readonly end: "whole" | "broken" | "none";
}

/** A response to a caller, and what it shows. */
function recorded() {
  const got: { status: number; body: string; end: Got["end"] } = {
    status: 0,
    body: "",
    end: "none",
  };
  const whole = (status: number, body: string): void => {
    Object.assign(got, { status, body, end: "whole" });
  };
  return {
    got: got as Got,
    response: {
      disconnected: new AbortController().signal,
      writeHead: (status: number) => {
        got.status = status;
      },
      write: (bytes: Buffer) => {
        got.body += bytes.toString();
        return undefined;
      },
      end: () => {
        got.end = "whole";
      },
      abort: () => {
        got.end = "broken";
      },
      sendWhole: (status: number, _headers: unknown, body: Buffer) => {
        whole(status, body.toString());
      },
      refuse: (status: number) => {
        whole(status, "");
      },
    },
  };
}

/** Answers a request, whose head is `received`, on its connection. */
type Answer = (socket: net.Socket, received: string) => void;

/** A worker that runs well, and answers all requests but the question whether it runs by `answer`. */
function workerOf(answer: Answer) {
  return fixtures.listen(
    net.createServer((socket) => {
      socket.on("error", () => undefined);
      socket.on("data", (part: Buffer) => {
        const received = part.toString("latin1");
        if (received.startsWith("GET /healthz"))
          socket.end("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
        else answer(socket, received);
      });
    }),
  );
}

/** Sends the first `cut` bytes of a head, and stops. */
function stopIn(head: string, cut: number, way: Stop): Answer {
  return (socket) => {
    socket.write(head.slice(0, cut));
    STOPS[way](socket);
  };
}

/** Serves one request by two plain workers that both answer by `answer`. */
async function servePlain(route: Partial<catalog.Route>, answer: Answer): Promise<Got> {
  const workers = [await workerOf(answer), await workerOf(answer)];
  const list = workers.map((w, i) => fixtures.endpoint(`e${i}`, w.address));
  const setup = dispatcherFixture.create({
    ...catalog.EMPTY,
    config: fixtures.CONFIG,
    endpoints: new Map(list.map((e) => [e.id, e])),
  });
  const { got, response } = recorded();
  await setup.dispatcher.serve(
    fixtures.request({ route: { ...fixtures.ROUTE, ...route } }),
    response,
  );
  setup.close();
  for (const w of workers) w.close();
  return got;
}

/** Serves one stream by an engine that answers by `answer`. */
async function serveEngine(answer: Answer): Promise<Got> {
  const worker = await workerOf(answer);
  const daemon = await fakeEndpointDaemon.openGranting("i1", "m/a");
  const { at, service: engines } = managedEngines.catalogOf([
    fixtures.endpoint("i1", worker.address),
  ]);
  const setup = dispatcherFixture.create(at, () => daemon.address, clock.system);
  setup.known.refresh();
  await managedEngines.eventually(() =>
    setup.known.views(engines).every((v) => v.holdings !== undefined),
  );
  const { got, response } = recorded();
  const route: catalog.Route = { ...fixtures.ROUTE, kind: "stream", resumable: false };
  await setup.dispatcher.serve(dispatcherFixture.streamRequest(engines, route, 1500), response);
  setup.close();
  daemon.close();
  worker.close();
  return got;
}

/** Serves one request for each cut of each head, each way of stopping; returns what differs from `wanted`. */
async function differing(
  serve: (answer: Answer) => Promise<Got>,
  wanted: Got,
  ways: readonly Stop[] = WAYS,
): Promise<readonly string[]> {
  const found: string[] = [];
  for (const framing of NAMES) {
    const head = headOf(framing);
    for (const way of ways) {
      const seen = cutsOf(head).map(async (cut) => {
        const got = await serve(stopIn(head, cut, way));
        if (JSON.stringify(got) !== JSON.stringify(wanted))
          found.push(`${framing}, ${way} after ${cut}: ${JSON.stringify(got)}`);
      });
      await Promise.all(seen);
    }
  }
  return found;
}

const FAILED: Got = { status: 502, body: "", end: "whole" };
const WHOLE: Got = { status: 200, body: BODY, end: "whole" };

describe("an answer whose worker stops within its head", () => {
  // Each of these guards against a 200 with an empty or short body that looks whole.
  it("is a failure of a call or a stream that may run once", async () => {
    for (const kind of ["once", "stream"] as const)
      expect(await differing((a) => servePlain({ kind, resumable: false }, a), FAILED)).deep.equal(
        [],
      );
  }).timeout(60_000);

  it("is a failure of a stream of an engine", async () => {
    expect(await differing(serveEngine, FAILED, ["closes", "resets"])).deep.equal([]);
  }).timeout(60_000);

  it("is replaced by that of another worker where the request may be repeated", async () => {
    for (const route of [{ kind: "idempotent" }, { kind: "stream", resumable: true }] as const) {
      const serve = (stop: Answer): Promise<Got> => {
        let sends = 0;
        return servePlain(route, (socket, received) => {
          if (sends++ === 0) stop(socket, received);
          else socket.write(headOf("a length") + BODY);
        });
      };
      expect(await differing(serve, WHOLE)).deep.equal([]);
    }
  }).timeout(60_000);

  it("does not end a stream that goes on at its worker", async () => {
    const serve = (stop: Answer): Promise<Got> =>
      servePlain({ kind: "stream", resumable: true }, (socket, received) => {
        if (/last-event-id/i.test(received)) {
          stop(socket, received);
          return;
        }
        socket.write(headOf("chunks") + `${BODY.length.toString(16)}\r\n${BODY}\r\n`);
        setTimeout(() => socket.resetAndDestroy(), 10);
      });
    const broken: Got = { status: 200, body: BODY, end: "broken" };
    const seen = await differing(serve, broken, ["closes", "resets"]);
    // A stream that goes on may have nothing left, which a whole head without a length says.
    const bare = headOf("neither length nor chunks").length;
    expect(seen.filter((s) => !s.includes(`closes after ${bare}:`))).deep.equal([]);
  }).timeout(60_000);

  it("has no body by its status or its request's method, and is whole then if its head is", async () => {
    for (const [method, status] of [
      ["HEAD", 200],
      ["GET", 204],
      ["GET", 304],
    ] as const) {
      const head = headOf("neither length nor chunks", status);
      for (const cut of cutsOf(head)) {
        const worker = await workerOf(stopIn(head, cut, "closes"));
        const e = fixtures.endpoint("e0", worker.address);
        const setup = dispatcherFixture.create({
          ...catalog.EMPTY,
          config: fixtures.CONFIG,
          endpoints: new Map([[e.id, e]]),
        });
        const { got, response } = recorded();
        await setup.dispatcher.serve(fixtures.request({ method }), response);
        setup.close();
        worker.close();
        expect([method, cut, got.status]).deep.equal([
          method,
          cut,
          cut === head.length ? status : 502,
        ]);
      }
    }
  }).timeout(60_000);

  it("is not joined with the head of the next answer on its connection", async () => {
    const stray = "HTTP/1.1 200 OK\r\nx-a: b\r\n";
    const failure = `HTTP/1.1 500 Failed\r\ntest-id: r1\r\ntest-signed: 1\r\ncontent-length: 3\r\n\r\nbad`;
    for (const cut of cutsOf(stray)) {
      const got = await servePlain({ kind: "once" }, (socket) => {
        socket.write(stray.slice(0, cut));
        setTimeout(() => socket.write(failure), 5);
      });
      expect([cut, got]).deep.equal([cut, FAILED]);
    }
  }).timeout(60_000);
});

describe("an answer of the service beside an endpoint daemon that stops within its head", () => {
  it("is an error", async () => {
    for (const framing of ["a length", "chunks"] as const) {
      const head = headOf(framing);
      for (const way of WAYS) {
        const seen = cutsOf(head).map(async (cut) => {
          const worker = await workerOf(stopIn(head, cut, way));
          const client = service.open(`http://${worker.address}`, 1);
          const req = new http.IncomingMessage(new net.Socket());
          const read = client
            .run("GET", "/", req, AbortSignal.timeout(2000))
            .then((res) => res.body.text())
            .catch(() => "error");
          expect([framing, way, cut, await read]).deep.equal([framing, way, cut, "error"]);
          worker.close();
        });
        await Promise.all(seen);
      }
    }
  }).timeout(60_000);
});

describe("an answer of the engine beside an endpoint daemon that stops within its head", () => {
  it("is an error, for a call and for a stream", async () => {
    const expected = { name: "a", id: "r1", target: "a@1", endpoint: "e" };
    for (const framing of NAMES) {
      const head = headOf(framing);
      for (const way of WAYS) {
        const seen = cutsOf(head).map(async (cut) => {
          const worker = await workerOf(stopIn(head, cut, way));
          const engine = vllm.open({
            url: `http://${worker.address}`,
            timeoutMs: 2000,
            orderTimeoutMs: 2000,
            connections: 2,
          });
          const call = { name: "a", id: "r1", path: "/v1/completions", fields: {}, priority: 0 };
          const run = () => engine.run(call, AbortSignal.timeout(2000));
          const whole = run()
            .then(({ body }) => answers.readAll(body, expected, 1000))
            .catch(() => "error");
          const events = run()
            .then(async ({ body }) => {
              for await (const e of answers.readEvents(body, expected, 1000)) return e;
              return "ended";
            })
            .catch(() => "error");
          expect([framing, way, cut, await whole, await events]).deep.equal([
            framing,
            way,
            cut,
            "error",
            "error",
          ]);
          worker.close();
        });
        await Promise.all(seen);
      }
    }
  }).timeout(60_000);
});
