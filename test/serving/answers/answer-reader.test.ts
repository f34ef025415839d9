import * as chai from "chai";
import * as clock from "../../../src/host/clock.js";
import * as answerReader from "../../../src/serving/answers/answer-reader.js";
import * as notices from "../../../src/serving/notices.js";
import type * as sendState from "../../../src/serving/send-state.js";
import * as fixtures from "../fixtures.js";

const { expect } = chai;

/** How an answer without a length that has this body is judged, and whether its worker was asked if it runs. */
async function judge(text: string, isSuperseded: boolean) {
  const reader = new answerReader.AnswerReader({
    clock: clock.system,
    origins: { begun: () => undefined },
    upstream: { isRunning: () => Promise.resolve(true) },
  });
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
