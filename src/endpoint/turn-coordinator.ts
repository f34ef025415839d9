/**
 * The endpoint daemon's part in turns at the weight store: it grants turns if it is the keeper, and
 * asks the current keeper for turns otherwise.
 * @module
 */
import type * as clock from "../host/clock.js";
import * as errors from "../host/errors.js";
import * as log from "../host/log.js";
import * as members from "../host/members.js";
import type * as control from "../link/control.js";
import type * as hosts from "../store/hosts.js";
import type * as gateSetup from "./gate-setup.js";
import * as turns from "./turns.js";

/** Dependencies of a coordinator. */
export interface Deps {
  readonly clock: clock.Clock;
  readonly log: log.Log;
  /** Name of this endpoint. */
  readonly name: string;
  readonly members: members.Members;
  readonly peer: (m: hosts.Member) => control.Peer;
}

/** Number of endpoint daemons that may be keeper; the next one takes over when one does not answer. */
const MAX_KEEPERS = 3;
/** Time for which a keeper that did not answer is skipped, as a multiple of `askMaxMs`. */
const SILENCE_WAITS = 10;
/** Number of times a turn is renewed within `holdMs`. */
const RENEWALS_PER_HOLD = 3;

/** Grants turns as the keeper, and asks for this endpoint's turn. */
export class TurnCoordinator {
  private turns: turns.Turns;
  /** Members that may be keeper, in order of preference. */
  private keepers: readonly hosts.Member[] = [];
  /** For each keeper that did not answer, the time until which it is skipped, in monotonic ms. */
  private readonly silentUntil = new Map<string, number>();

  constructor(
    private readonly opts: turns.Options,
    private readonly deps: Deps,
  ) {
    this.turns = turns.none(opts);
    deps.members.onChange(() => {
      const candidates = deps.members.live().filter((m) => m.role === "endpoint");
      this.keepers = members.pickByHash(candidates, "turn", MAX_KEEPERS);
    });
  }

  private keeper(): hosts.Member | undefined {
    const now = this.deps.clock.mono();
    return this.keepers.find((m) => (this.silentUntil.get(m.name) ?? 0) <= now);
  }

  /** Answers a request for a turn, as the keeper. */
  handleAsk(a: control.TurnRequest): control.TurnAnswer {
    const { turns: next, answer } = turns.ask(this.turns, a, this.deps.clock.mono());
    this.turns = next;
    return answer;
  }

  /** Ends the turn of `endpoint`, as the keeper. */
  handleEnd(endpoint: string): void {
    this.turns = turns.end(this.turns, endpoint, this.deps.clock.mono());
  }

  /** A client that asks the current keeper for turns of this endpoint. */
  client(): gateSetup.TurnClient {
    const { name, peer } = this.deps;
    let renewalTimer: clock.Timer | undefined;
    // Falls back to the next keeper if one does not answer. Without any keeper the load starts at
    // once: concurrent loads are slower, but loading never stops.
    const ask = async (a: control.TurnRequest): Promise<control.TurnAnswer> => {
      const keeper = this.keeper();
      if (!keeper) return { kind: "go" };
      if (keeper.name === name) return this.handleAsk(a);
      try {
        return await peer(keeper).askTurn.mutate(a);
      } catch (err) {
        this.deps.log.info(`Asking ${keeper.name} for a turn failed: ${errors.messageOf(err)}`);
        this.silentUntil.set(
          keeper.name,
          this.deps.clock.mono() + SILENCE_WAITS * this.opts.askMaxMs,
        );
        return ask(a);
      }
    };
    const scheduleRenewal = (a: control.TurnRequest): void => {
      renewalTimer = this.deps.clock.after(this.opts.holdMs / RENEWALS_PER_HOLD, () => {
        void ask(a);
        scheduleRenewal(a);
      });
    };
    return {
      ask: async (target, score) => {
        const a = { endpoint: name, target, score };
        const answer = await ask(a);
        if (answer.kind === "go") scheduleRenewal(a);
        return answer;
      },
      end: () => {
        renewalTimer?.cancel();
        const keeper = this.keeper();
        if (!keeper || keeper.name === name) {
          this.handleEnd(name);
          return;
        }
        // If this call is lost, the keeper frees the turn after `holdMs`.
        peer(keeper)
          .endTurn.mutate({ endpoint: name })
          .catch((err: unknown) => {
            this.deps.log.debug(
              `Telling ${keeper.name} the end of a turn failed: ${errors.messageOf(err)}`,
            );
          });
      },
    };
  }
}
