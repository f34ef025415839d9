import type * as http from "node:http";
import * as chai from "chai";
import * as admission from "../../../src/serving/admission.js";
import type * as callerRequest from "../../../src/serving/caller-request.js";
import * as catalog from "../../../src/serving/catalog.js";
import type * as origins from "../../../src/serving/continuation/origins.js";
import * as dispatcherFixture from "../dispatcher-fixture.js";
import * as fixtures from "../fixtures.js";

const { expect } = chai;

const STREAM: catalog.Route = { ...fixtures.ROUTE, kind: "stream", resumable: true };

type Worker = Awaited<ReturnType<typeof fixtures.worker>>;

const event = (id: number): string => `id: ${id}\ndata: x${id}\n\n`;

/** A worker's answer that ends after `text`, whole or by a break inside an event. */
const answers =
  (text: string, isWhole = true) =>
  (_req: http.IncomingMessage, res: http.ServerResponse): void => {
    res.writeHead(200, fixtures.good());
    if (isWhole) {
      res.end(text);
      return;
    }
    res.write(`${text}id: 9\nda`);
    setTimeout(() => res.destroy(), 20);
  };

describe("a stream", () => {
  const opened: Worker[] = [];

  afterEach(() => {
    for (const w of opened.splice(0)) w.close();
  });

  /**
   * Serves one stream before workers of these software versions; returns which of them ran it, and what its caller saw.
   * `known` is what the host finds out about a stream that is resumed.
   */
  async function serve(
    list: readonly (readonly [software: string, answer: http.RequestListener])[],
    meta: Partial<callerRequest.Meta> = {},
    known?: origins.Known,
    route: catalog.Route = STREAM,
  ) {
    const ran: string[] = [];
    const endpoints = new Map<string, catalog.Endpoint>();
    for (const [n, [software, answer]] of list.entries()) {
      const worker = await fixtures.worker((req, res) => {
        ran.push(`${software}.${n}`);
        answer(req, res);
      });
      opened.push(worker);
      const e = fixtures.endpoint(`e${n}`, worker.address);
      endpoints.set(e.id, { ...e, labels: { ...e.labels, [catalog.SOFTWARE_LABEL]: software } });
    }
    const at = { ...catalog.EMPTY, config: fixtures.CONFIG, endpoints };
    const made = dispatcherFixture.create(
      at,
      undefined,
      undefined,
      undefined,
      undefined,
      undefined,
      {
        origins: {
          isOnlyOne: () => false,
          mayBegin: () => true,
          begun: () => undefined,
          ended: () => undefined,
          find: () =>
            Promise.resolve(known ? { kind: "known", ...known } : fixtures.UNKNOWN_ORIGIN),
        },
      },
    );
    const { response, seen } = dispatcherFixture.recorded();
    const req = fixtures.request();
    try {
      await made.dispatcher.serve(
        fixtures.request({ route, meta: { ...req.meta, ...meta } }),
        response,
      );
    } finally {
      made.close();
    }
    return { ran, seen };
  }

  const breaks = answers(event(1), false);
  const rest = answers(event(2));

  it("that breaks is resumed only at the version that began it", async () => {
    const { ran, seen } = await serve([
      ["v1", breaks],
      ["v2", rest],
      ["v1", rest],
    ]);
    expect(ran).deep.equal(["v1.0", "v1.2"]);
    expect(seen).deep.equal(["begin 200", "end"]);
  });

  it("that breaks is resumed at its own worker where no other has its version", async () => {
    const { ran, seen } = await serve([
      ["v1", breaks],
      ["v2", rest],
    ]);
    expect(ran).deep.equal(["v1.0", "v1.0"]);
    expect(seen).deep.equal(["begin 200", "broken"]);
  });

  it("that its caller resumes is sent to the version that began it", async () => {
    const known = { origin: { service: "guide", software: "v2" }, from: "keeper" } as const;
    const { ran } = await serve(
      [
        ["v1", rest],
        ["v2", rest],
      ],
      { resumeAfter: "1", resumes: "r0" },
      known,
    );
    expect(ran).deep.equal(["v2.1"]);
  });

  it("that its caller resumes is refused at once where its origin is not known or not served any more", async () => {
    const meta = { resumeAfter: "1", resumes: "r0" };
    const moved = { origin: { service: "other", software: "v1" }, from: "keeper" } as const;
    const gone = { origin: { service: "guide", software: "v3" }, from: "keeper" } as const;
    for (const known of [undefined, moved, gone]) {
      const { ran, seen } = await serve([["v1", rest]], meta, known);
      expect([ran, seen]).deep.equal([[], ["refuse 503"]]);
    }
  });

  it("whose events have no ids is not begun again after some of them", async () => {
    const { ran, seen } = await serve([
      ["v1", answers("data: x1\n\n", false)],
      ["v1", answers("data: x1\n\ndata: x2\n\n")],
    ]);
    expect(ran).deep.equal(["v1.0"]);
    expect(seen).deep.equal(["begin 200", "broken"]);
  });

  it("that has begun waits for a worker for as long as its caller does", () => {
    const times = { rank: 1, targetMs: 1000, gapMs: 400, leftMs: 9000 };
    const begun = { ...times, hasBegun: true };
    expect(admission.maxSeatWaitMs(times)).equal(2400);
    expect(admission.maxSeatWaitMs(begun)).equal(4000);
    expect(admission.maxEndpointWaitMs(times, false)).equal(200);
    expect(admission.maxEndpointWaitMs(begun, false)).equal(4000);
    expect(admission.maxSeatWaitMs({ ...begun, leftMs: 300 })).equal(300);
  });
});
