import * as chai from "chai";
import * as fc from "fast-check";
import * as state from "../../src/host/connections/state.js";

const { expect } = chai;

/** What the client or the host does next, in any order; what cannot happen in a state is passed over. */
const ACTIONS = [
  "send",
  "send part of a head",
  "send a head whose body follows",
  "send the body",
  "parse",
  "respond",
  "write the announcing head",
  "close",
  "wait",
] as const;
/** The same with an end of the process. */
const ACTIONS_CUT_OFF = [...ACTIONS, "cut off"] as const;
type Action = (typeof ACTIONS_CUT_OFF)[number];

/** Bytes that were read and not parsed, in order. */
type Piece = "request" | "part of a head" | "head" | "body";

/** A connection with what a client has on its way; records what the state has led to. */
class Play {
  state = state.NEW;
  now = 0;
  /** Requests that were taken, and the ones whose responses have ended. */
  readonly taken: number[] = [];
  readonly responded: number[] = [];
  /** The request that had announced the close, and what was read since the close was decided. */
  announced: number | undefined;
  readsClosing = 0;
  /** Pieces that were read and not parsed when the close was announced. */
  unparsedAnnouncing = 0;
  ended: state.Due = "nothing";
  takenBeforeCutOff: number | undefined;
  private unparsed: Piece[] = [];

  act(action: Action): void {
    if (this.ended !== "nothing") return;
    switch (action) {
      case "send":
        this.arrive("request");
        break;
      case "send part of a head":
        this.arrive("part of a head");
        break;
      case "send a head whose body follows":
        this.arrive("head");
        break;
      case "send the body":
        if (this.state.isReceiving) this.arrive("body");
        break;
      case "parse":
        this.parse();
        break;
      case "respond": {
        const [request] = this.state.open;
        if (request === undefined) break;
        if (this.announced === undefined && this.announcer() === request) this.announce();
        this.responded.push(request);
        this.step({ kind: "responded", request });
        break;
      }
      case "write the announcing head":
        if (this.announcer() === this.state.open[0]) this.announce();
        break;
      case "close":
        this.step({ kind: "close", reason: "stopping", at: this.now });
        break;
      case "wait":
        this.now += 300;
        break;
      case "cut off":
        this.step({ kind: "take_no_more", at: this.now });
        this.takenBeforeCutOff ??= this.taken.length;
        break;
    }
  }

  announcer(): number | undefined {
    return state.announcerOf(this.state);
  }

  private announce(): void {
    if (this.announcer() === undefined) return;
    this.announced ??= this.announcer();
    this.unparsedAnnouncing += this.unparsed.length;
    this.step({ kind: "announced" });
  }

  private arrive(piece: Piece): void {
    if (!state.mayRead(this.state, this.now)) return;
    if (this.state.close && this.state.sendsAhead && piece !== "body") this.readsClosing++;
    this.step({ kind: "arrived", isBlank: false });
    if (state.mayParse(this.state)) this.unparsed.push(piece);
    else this.unparsed = [];
  }

  private parse(): void {
    const piece = this.unparsed.shift();
    if (piece === undefined) return;
    if (piece === "body") this.step({ kind: "received" });
    const isRequest = piece === "request" || piece === "head";
    if (isRequest && !this.state.isReceiving && state.mayTake(this.state)) {
      this.taken.push(this.state.taken + 1);
      this.step({ kind: "taken", isLast: false, at: this.now });
      if (piece === "request") this.step({ kind: "received" });
    }
    if (!state.mayParse(this.state)) this.unparsed = [];
    if (this.unparsed.length === 0)
      this.step({
        kind: "parsed",
        isHeadPartial: piece === "part of a head",
        at: this.now,
      });
  }

  private step(step: state.Step): void {
    this.state = state.apply(this.state, step);
    const due = state.dueOf(this.state);
    if (due === "nothing") return;
    this.ended = due;
    this.state = state.apply(this.state, { kind: "ended" });
  }
}

function checkAll(check: (p: Play) => boolean): void {
  const actions = fc.array(fc.constantFrom(...ACTIONS), { maxLength: 60 });
  fc.assert(
    fc.property(actions, (list) => {
      const play = new Play();
      return list.every((action) => {
        play.act(action);
        return check(play);
      });
    }),
    { numRuns: 2000 },
  );
}

describe("the state of a connection", () => {
  it("ends only after the responses to all requests that were taken", () => {
    checkAll((p) => p.ended === "nothing" || p.responded.length === p.taken.length);
  });

  it("has only the last request that is taken announce the close", () => {
    checkAll((p) => p.announced === undefined || p.announced === p.taken.at(-1));
  });

  it("announces the close only once all that was read has been parsed", () => {
    checkAll((p) => p.unparsedAnnouncing === 0);
  });

  it("takes nothing once the close is announced", () => {
    checkAll((p) => p.announced === undefined || !state.mayTake(p.state));
  });

  it("reads little of a client that sends ahead once the close is decided", () => {
    checkAll((p) => p.readsClosing <= state.MAX_READS_CLOSING);
    const ahead: state.State = { ...state.NEW, sendsAhead: true, taken: 1, open: [1] };
    const closing = state.apply(ahead, { kind: "close", reason: "stopping", at: 0 });
    expect(state.mayRead(closing, state.READ_CLOSING_MS - 1)).equal(true);
    expect(state.mayRead(closing, state.READ_CLOSING_MS)).equal(false);
  });

  it("ends when all is responded to, whatever was sent", () => {
    const actions = fc.array(fc.constantFrom(...ACTIONS), { maxLength: 60 });
    const rest: readonly Action[] = ["close", "wait", "wait", "wait", "wait", "send the body"];
    fc.assert(
      fc.property(actions, (list) => {
        const play = new Play();
        for (const action of [...list, ...rest]) play.act(action);
        for (let n = 0; n < 100; n++) {
          play.act("parse");
          play.act("send the body");
          play.act("respond");
        }
        return play.ended !== "nothing";
      }),
    );
  });

  it("refuses a request of which a part has arrived, unless the close was announced before", () => {
    const play = new Play();
    for (const action of ["send part of a head", "parse", "close"] as const) play.act(action);
    expect(play.ended).equal("refuse");
    const other = new Play();
    const actions = ["send", "parse", "close", "send part of a head", "parse", "respond"] as const;
    for (const action of actions) other.act(action);
    expect(other.ended).equal("end");
  });

  it("takes nothing once the process ends, and refuses what was read if no request is open", () => {
    const actions = fc.array(fc.constantFrom(...ACTIONS_CUT_OFF), { maxLength: 60 });
    fc.assert(
      fc.property(actions, (list) => {
        const play = new Play();
        for (const action of list) play.act(action);
        return (play.takenBeforeCutOff ?? play.taken.length) === play.taken.length;
      }),
      { numRuns: 2000 },
    );
    const waiting = new Play();
    for (const action of ["send", "cut off"] as const) waiting.act(action);
    expect([waiting.ended, waiting.taken]).deep.equal(["refuse", []]);
    const open = new Play();
    for (const action of ["send", "parse", "send", "cut off", "parse"] as const) open.act(action);
    expect([open.ended, open.taken]).deep.equal(["nothing", [1]]);
    const silent = new Play();
    silent.act("cut off");
    expect(silent.ended).equal("end");
  });

  it("goes on reading a client that sends nothing ahead, so that its leaving is seen", () => {
    const play = new Play();
    for (const action of ["send", "parse", "close"] as const) play.act(action);
    expect(state.mayRead(play.state, play.now + 10 * state.READ_CLOSING_MS)).equal(true);
  });
});
