import * as chai from "chai";
import type * as authentication from "../../src/serving/authentication.js";
import * as waitingStream from "./waiting-stream.js";

const { expect } = chai;

const WAIT_MS = 1500;

/** Serves a request whose authentication verdict becomes `later` while it waits for a seat. Returns how it ended. */
async function waiting(later: authentication.Verdict) {
  let verdict: authentication.Verdict = { kind: "team", team: { name: "news" } };
  const waits = await waitingStream.begin({
    route: { timeoutMs: WAIT_MS },
    authenticate: () => verdict,
  });
  verdict = later;
  waits.daemon.tell({ kind: "grant", seat: 0, instance: "i1" });
  return waits.ended();
}

describe("a request that waits for a seat", () => {
  afterEach(waitingStream.closeAll);

  it("is not sent once its key is revoked", async () => {
    const { ran, runs, seen } = await waiting({ kind: "unknown", why: "the key is unknown" });
    expect({ ran, runs, seen }).deep.equal({ ran: false, runs: 0, seen: ["refuse 401"] });
  });

  it("is not sent once its host's configuration is too old", async () => {
    const { ran, runs, seen } = await waiting({
      kind: "unsure",
      why: "the configuration is too old",
    });
    expect({ ran, runs, seen }).deep.equal({ ran: false, runs: 0, seen: ["refuse 503"] });
  });

  it("is sent while its key is accepted", async () => {
    const { ran, runs } = await waiting({ kind: "team", team: { name: "news" } });
    expect({ ran, runs }).deep.equal({ ran: true, runs: 1 });
  });
});
