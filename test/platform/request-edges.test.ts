import * as net from "node:net";
import * as chai from "chai";
import * as sites from "./unruly/site.js";
import * as kinds from "./unruly/kinds.js";

const { expect } = chai;

/** Most bytes of a head, by the configuration of the site. */
const HEAD_BYTES = 16_384;
const REST = "x-sumacfield-deadline-ms: 15000\r\nhost: a.example\r\n";
/** Bytes of a head, at most, beside the fields that a test adds. */
const BESIDE_BYTES = 140;
/** Milliseconds within which a single request must be answered in calm. */
const ANSWERED_MS = 8000;

const shortFields = (count: number): string =>
  Array.from({ length: count }, (_, i) => `${(i % 9) + 1}:\r\n`).join("");
const withId = (id: string): string => `x-sumacfield-attempt-id: ${id}\r\n`;
const POST = "POST /p/x HTTP/1.1\r\n";
const chunked = "transfer-encoding: chunked\r\n";
const lengthOf = (bytes: number): string => `content-length: ${bytes}\r\n`;

/** Requests inside the limits: what precedes the id, what follows it, and how the body is sent. */
interface Edge {
  readonly fieldsBefore?: string;
  readonly fields?: string;
  readonly body?: () => Generator<string>;
  /** Bytes that the worker must receive. */
  readonly bytes: number;
}

function* once(text: string): Generator<string> {
  yield text;
}

function* pieces(text: string, bytes: number): Generator<string> {
  for (let i = 0; i < text.length; i += bytes) yield text.slice(i, i + bytes);
}

/** Fields, short and empty, that make a head of `bytes` with the rest of it. */
const fillTo = (bytes: number): string => shortFields(Math.floor((bytes - BESIDE_BYTES) / 4));

const whole = "x".repeat(kinds.BODY_BYTES);

const EDGES: Readonly<Record<string, Edge>> = {
  "1,000 fields before its id": { fieldsBefore: shortFields(1000), bytes: 0 },
  "2,500 fields before its id": { fieldsBefore: shortFields(2500), bytes: 0 },
  "2,500 fields behind its id": { fields: shortFields(2500), bytes: 0 },
  "a head of the largest size": { fields: `x-pad: ${"p".repeat(HEAD_BYTES - 400)}\r\n`, bytes: 0 },
  "15,000 bytes of short, empty fields": { fields: fillTo(15_000), bytes: 0 },
  "a head of the largest size, of short, empty fields": { fields: fillTo(HEAD_BYTES), bytes: 0 },
  "a body of the largest size": {
    fields: lengthOf(whole.length),
    body: () => once(whole),
    bytes: whole.length,
  },
  "a body of the largest size in one chunk": {
    fields: chunked,
    body: () => once(`${whole.length.toString(16)}\r\n${whole}\r\n0\r\n\r\n`),
    bytes: whole.length,
  },
  "a body in 200,000 chunks of one byte": {
    fields: chunked,
    body: () => once(`${"1\r\nx\r\n".repeat(200_000)}0\r\n\r\n`),
    bytes: 200_000,
  },
  "a body in 20,000 pieces of eight bytes": {
    fields: lengthOf(160_000),
    body: () => pieces(whole.slice(0, 160_000), 8),
    bytes: 160_000,
  },
  "2,500 trailers": {
    fields: chunked,
    body: () => once(`1\r\nx\r\n0\r\n${shortFields(2500)}\r\n`),
    bytes: 1,
  },
  "a body that looks like heads": {
    fields: lengthOf(40_000),
    body: () => once("\r\n\r\n".repeat(10_000)),
    bytes: 40_000,
  },
  "long extensions of its chunks": {
    fields: chunked,
    body: () => once(`1;${"e".repeat(10_000)}\r\nx\r\n0\r\n\r\n`),
    bytes: 1,
  },
};

describe("a single request inside the limits", function () {
  this.timeout(20_000);
  const site = new sites.Site();

  before(async () => {
    await site.open();
    site.startDaemon();
    await site.served();
  });

  after(() => {
    site.close();
  });

  /** Sends parts on a connection of their own, and resolves with what has arrived once `isDone`. */
  async function exchange(
    parts: Iterable<string>,
    isDone: (text: string) => boolean,
  ): Promise<string> {
    const socket = net.connect({ port: site.port, host: "127.0.0.1", noDelay: true });
    let text = "";
    const done = new Promise<void>((resolve) => {
      socket.on("data", (part: Buffer) => {
        text += part.toString("latin1");
        if (isDone(text)) resolve();
      });
      socket.once("close", resolve).on("error", () => undefined);
      setTimeout(resolve, ANSWERED_MS);
    });
    for (const part of parts) {
      if (socket.destroyed) break;
      if (!socket.write(part)) await new Promise((resolve) => socket.once("drain", resolve));
    }
    await done;
    socket.destroy();
    return text;
  }

  // Guards against fields that are dropped without an error, and against limits that sound requests meet.
  for (const [name, { fieldsBefore = "", fields = "", body, bytes }] of Object.entries(EDGES))
    it(`reaches its worker whole: ${name}`, async () => {
      const id = `edge-${Object.keys(EDGES).indexOf(name)}`;
      const head = `${POST}${fieldsBefore}${REST}${withId(id)}${fields}\r\n`;
      const parts = [head, ...(body?.() ?? [])];
      const text = await exchange(parts, (t) => t.includes(" got "));
      expect(text).match(/^HTTP\/1\.1 200 /);
      expect(text).contain(`${id} got ${bytes}`);
      const sent = (fieldsBefore + fields).match(/^\d:/gm)?.length ?? 0;
      const names = site.received
        .get(id)
        ?.rawHeaders.filter((n, i) => i % 2 === 0 && /^\d$/.test(n));
      expect(names).length(sent);
    });

  // Guards against a limit of bytes that is not kept.
  it("is refused if its fields take more than the limit", async () => {
    const head = `${POST}${REST}${withId("over")}${fillTo(HEAD_BYTES + BESIDE_BYTES)}\r\n`;
    const text = await exchange([head], (t) => t.includes("\r\n\r\n"));
    expect(text).match(/^HTTP\/1\.1 431 /);
    expect(site.received.has("over")).equal(false);
  });

  // Guards against requests that are lost while those before them on their connection wait.
  it("is answered in its turn when 200 are sent ahead", async () => {
    const ids = Array.from({ length: 200 }, (_, i) => `ahead-${i}`);
    const all = ids.map((id) => `${POST}${REST}${withId(id)}${lengthOf(3)}\r\nabc`).join("");
    const text = await exchange(once(all), (t) => t.includes("ahead-199 got"));
    const answered = [...text.matchAll(/(ahead-\d+) got 3/g)].map(([, id]) => id);
    expect(answered).deep.equal(ids);
  });
});
