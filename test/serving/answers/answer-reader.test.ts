import * as chai from "chai";
import * as clock from "../../../src/host/clock.js";
import * as answerReader from "../../../src/serving/answers/answer-reader.js";
import * as exchange from "../../../src/serving/exchange.js";
import * as notices from "../../../src/serving/notices.js";
import type * as sendState from "../../../src/serving/send-state.js";
import * as fixtures from "../fixtures.js";

const { expect } = chai;

/** How an answer without a length that has this body is judged, and whether its worker was asked if it runs. */
async function judge(text: string, isSuperseded: boolean) {
  const send = {
    req: fixtures.request(),
    endpoint: fixtures.endpoint("e", "127.0.0.1:9"),
    res: { isSuperseded: () => isSuperseded },
    watchdog: { signal: new AbortController().signal },
  };
  const { body, verdict } = await reader.readWhole(send as unknown as sendState.SendState, {
    kind: "answer",
    status: 200,
    headers: {},
    framing: "close",
    body: {
      pump: async (onChunk) => {
        if (text !== "") await onChunk(Buffer.from(text));
      },
      abort: () => undefined,
    },
    notice: { limit: notices.ABSENT, leaving: notices.ABSENT, retryAfterMs: notices.ABSENT },
    statement: {
      status: 200,
      subject: "request",
      claimsNotRun: false,
      isSigned: true,
      isJoined: false,
    },
  });
  return [body.toString(), verdict.kind];
}

const reader = new answerReader.AnswerReader({
  clock: clock.system,
  origins: { begun: () => undefined },
  upstream: { isRunning: () => Promise.resolve(true) },
});

/** Whether an answer that was given up counts as closed by the host, for what came on it or by the watchdog. */
async function isClosedHere(byWatchdog: boolean): Promise<boolean> {
  const signal = byWatchdog ? AbortSignal.abort() : new AbortController().signal;
  const send = { res: {}, watchdog: { signal }, isClosedHere: false };
  const pump = () => Promise.reject(new exchange.GivenUpError());
  const answer = { framing: "length", body: { pump, abort: () => undefined } };
  await reader.readWhole(
    send as unknown as sendState.SendState,
    answer as unknown as answerReader.Answer,
  );
  return send.isClosedHere;
}

describe("an answer that was given up", () => {
  // Guards against a fatal request that is blamed for no crash because its send was broken off when its engine was lost.
  it("counts as closed by the host for what came on it, and not if the watchdog broke it off", async () => {
    expect([await isClosedHere(false), await isClosedHere(true)]).deep.equal([true, false]);
  });
});

describe("an answer without a length", () => {
  it("is whole if it has a body", async () => {
    expect(await judge("fine", false)).deep.equal(["fine", "whole"]);
    expect(await judge("", false)).deep.equal(["", "unknown"]);
  });

  // Guards against a sound worker that counts as failed since nothing is kept of an answer that another send overtook.
  it("is whole though nothing of it was kept because another send had been answered", async () => {
    expect(await judge("fine", true)).deep.equal(["", "whole"]);
  });
});
