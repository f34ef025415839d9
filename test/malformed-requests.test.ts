import * as net from "node:net";
import * as chai from "chai";
import * as fc from "fast-check";
import * as site from "../bench/site.js";

const { expect } = chai;

const JSON_TYPE = "application/json";

/** Sends raw bytes, and reads until the server closes the connection or `ms` have passed. */
function sendRaw(address: string, bytes: Buffer, ms = 300): Promise<string> {
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    let out = "";
    const socket = net.connect(Number(port), host, () => socket.write(bytes));
    socket.on("data", (part) => (out += part.toString()));
    socket.on("error", () => undefined);
    socket.on("close", () => {
      resolve(out);
    });
    setTimeout(() => socket.destroy(), ms);
  });
}

describe("malformed requests: the HTTP servers", () => {
  let s: site.Site;
  before(async () => {
    s = await site.Site.start({ engines: 1, settings: { requestLimit: "2000", headersMs: "500" } });
  });
  after(() => s.stop());

  /** Checks that the daemons still serve valid requests. */
  const expectHealthy = async (): Promise<void> => {
    expect((await s.ask("captions@1", { tokens: 1 })).status).equal(200);
  };

  // Guards against requests that are lost while those before them on their connection wait.
  it("answer each of many requests that are sent ahead", async () => {
    const { callersAddress = "" } = s.entries[0] ?? {};
    const ahead = Buffer.from("GET /healthz HTTP/1.1\r\nhost: a\r\n\r\n".repeat(500));
    const text = await sendRaw(callersAddress, ahead, 1000);
    expect(text.split("HTTP/1.1 200 OK").length - 1).equal(500);
    await expectHealthy();
  });

  it("answer any body with a complete error object", async () => {
    const body = fc.oneof(
      fc.json(),
      fc.string(),
      fc.json().map((j) => `{"model":${j}}`),
    );
    await fc.assert(
      fc.asyncProperty(body, async (text) => {
        const a = await s.call("POST", "/v1/completions", text === "" ? " " : text);
        expect(a.status).oneOf([400, 404]);
        expect(site.errorOf(a)).include.keys("message", "code", "step", "peer", "outcome");
      }),
      { numRuns: 60 },
    );
    await expectHealthy();
  });

  it("answer any path and method", async () => {
    const method = fc.constantFrom("GET", "POST", "PUT", "DELETE", "PATCH", "OPTIONS");
    await fc.assert(
      fc.asyncProperty(method, fc.webPath(), async (m, path) => {
        const a = await s.call(m, path === "" ? "/" : path, "");
        expect(a.status).oneOf([200, 400, 404]);
        if (a.status !== 200) expect(a.headers["content-type"]).equal(JSON_TYPE);
      }),
      { numRuns: 60 },
    );
    await expectHealthy();
  });

  it("keep serving after arbitrary bytes", async () => {
    const callersAddress = s.entries[0]?.callersAddress ?? "";
    const link = s.endpoints[0]?.linkAddress ?? "";
    await fc.assert(
      fc.asyncProperty(fc.uint8Array({ maxLength: 300 }), fc.boolean(), async (bytes, callers) => {
        await sendRaw(callers ? callersAddress : link, Buffer.from(bytes), 20);
      }),
      { numRuns: 60 },
    );
    await expectHealthy();
  });

  it("refuse bodies that are too large, with and without a Content-Length", async () => {
    const withLength = await s.call("POST", "/v1/completions", "x".repeat(3000));
    expect(withLength.status).equal(413);
    const auth = `Authorization: Bearer ${site.callerKey("wattle")}`;
    const head = `POST /v1/completions HTTP/1.1\r\nHost: a\r\n${auth}\r\nTransfer-Encoding: chunked\r\n\r\n`;
    const chunk = `${(3000).toString(16)}\r\n${"x".repeat(3000)}\r\n`;
    const out = await sendRaw(s.entries[0]?.callersAddress ?? "", Buffer.from(head + chunk));
    expect(out).include("413");
    await expectHealthy();
  });

  it("refuse headers that could smuggle another request", async () => {
    const callersAddress = s.entries[0]?.callersAddress ?? "";
    const both =
      "POST /v1/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    expect(await sendRaw(callersAddress, Buffer.from(both))).match(
      /^HTTP\/1.1 400[^]*"outcome":"not_run"/,
    );
    const twice =
      "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcd";
    expect(await sendRaw(callersAddress, Buffer.from(twice))).match(
      /^HTTP\/1.1 400[^]*"outcome":"not_run"/,
    );
    const key = `Authorization: Bearer ${site.callerKey("wattle")}\r\n`;
    const keys = `GET /v1/models HTTP/1.1\r\nHost: a\r\n${key}${key}\r\n`;
    expect(await sendRaw(callersAddress, Buffer.from(keys))).include("appears more than once");
    await expectHealthy();
  });

  it("do not wait for a caller that does not finish its headers", async () => {
    const callersAddress = s.entries[0]?.callersAddress ?? "";
    const slow = Buffer.from("POST /v1/completions HTTP/1.1\r\nHost: a\r\n");
    const began = performance.now();
    expect(await sendRaw(callersAddress, slow, 15_000)).include('"outcome":"not_run"');
    expect(performance.now() - began).below(15_000);
    await expectHealthy();
  });

  it("do not reveal another caller's key or prompt", async () => {
    const a = await s.ask("captions@9", { by: "levant", prompt: "a secret of levant" });
    const b = await s.ask("captions@9", { by: "wattle" });
    for (const text of [a.text, b.text]) {
      expect(text).not.include("secret");
      expect(text).not.include(site.callerKey("levant"));
    }
  });
});
