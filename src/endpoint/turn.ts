/**
 * The endpoint daemon's side of turns at the weight store: it keeps the turns when it is the one to
 * do so, and asks whoever is otherwise.
 * @module
 */
import type * as clock from "../host/clock.js";
import * as errors from "../host/why.js";
import * as log from "../host/log.js";
import * as members from "../host/members.js";
import type * as control from "../link/control.js";
import type * as hosts from "../store/hosts.js";
import type * as setup from "./setup.js";
import * as turns from "./turns.js";

export interface Deps {
  readonly clock: clock.Clock;
  readonly log: log.Log;
  readonly name: string;
  readonly members: members.Members;
  readonly peer: (m: hosts.Member) => control.Peer;
}

/** Endpoint daemons that may keep the turns, one after the other as they fall silent. */
const KEEPERS = 3;
/** Longest waits for which a silent keeper is passed over. */
const SILENT = 10;
/** Times that a turn is kept alive within its hold. */
const KEEPS = 3;

export class Desk {
  private turns: turns.Turns;
  /** Who may keep the turns, first choice first. */
  private keepers: readonly hosts.Member[] = [];
  /** Keepers that did not answer, and until when they are passed over. */
  private readonly silent = new Map<string, number>();

  constructor(
    private readonly opts: turns.Options,
    private readonly deps: Deps,
  ) {
    this.turns = turns.none(opts);
    deps.members.onChange(() => {
      const able = deps.members.live().filter((m) => m.role === "endpoint");
      this.keepers = members.first(able, "turn", KEEPERS);
    });
  }

  private keeper(): hosts.Member | undefined {
    const now = this.deps.clock.mono();
    return this.keepers.find((m) => (this.silent.get(m.name) ?? 0) <= now);
  }

  /** Answers one question as the keeper. */
  ask(a: control.TurnAsk): control.TurnAnswer {
    const { turns: next, answer } = turns.ask(this.turns, a, this.deps.clock.mono());
    this.turns = next;
    return answer;
  }

  end(endpoint: string): void {
    this.turns = turns.end(this.turns, endpoint, this.deps.clock.mono());
  }

  /** This endpoint's own turn, from whoever keeps them. */
  own(): setup.Turn {
    const { name, peer } = this.deps;
    let keeping: clock.Timer | undefined;
    // Each keeper that does not answer is passed over for the next; the last resort is to load at
    // once, which is slower together but never stops.
    const ask = async (a: control.TurnAsk): Promise<control.TurnAnswer> => {
      const keeper = this.keeper();
      if (!keeper) return { kind: "go" };
      if (keeper.name === name) return this.ask(a);
      try {
        return await peer(keeper).askTurn.mutate(a);
      } catch (err) {
        this.deps.log.info(`${keeper.name} does not keep the turns: ${errors.why(err)}`);
        this.silent.set(keeper.name, this.deps.clock.mono() + SILENT * this.opts.askMaxMs);
        return ask(a);
      }
    };
    const keep = (a: control.TurnAsk): void => {
      keeping = this.deps.clock.after(this.opts.holdMs / KEEPS, () => {
        void ask(a);
        keep(a);
      });
    };
    return {
      ask: async (target, score) => {
        const a = { endpoint: name, target, score };
        const answer = await ask(a);
        if (answer.kind === "go") keep(a);
        return answer;
      },
      end: () => {
        keeping?.cancel();
        const keeper = this.keeper();
        if (!keeper || keeper.name === name) {
          this.end(name);
          return;
        }
        // A turn that is not ended is free again after `holdMs`.
        peer(keeper)
          .endTurn.mutate({ endpoint: name })
          .catch((err: unknown) => {
            this.deps.log.debug(
              `${keeper.name} was not told the end of a turn: ${errors.why(err)}`,
            );
          });
      },
    };
  }
}
