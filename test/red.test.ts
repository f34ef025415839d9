import * as fs from "node:fs";
import * as chai from "chai";
import * as answerSwitches from "../bench/red/answer-switches.js";
import * as continuationSwitches from "../bench/red/continuation-switches.js";
import * as limiterSwitches from "../bench/red/limiter-switches.js";
import * as readingSwitches from "../bench/red/reading-switches.js";
import * as servingSwitches from "../bench/red/serving-switches.js";
import * as sharingSwitches from "../bench/red/sharing-switches.js";
import * as soakSwitches from "../bench/red/soak-switches.js";
import * as storeSwitches from "../bench/red/store-switches.js";
import * as switches from "../bench/red/switches.js";
import * as versionSwitches from "../bench/red/version-switches.js";

const { expect } = chai;

const ALL = [
  ...switches.SWITCHES,
  ...servingSwitches.SERVING_SWITCHES,
  ...answerSwitches.ANSWER_SWITCHES,
  ...continuationSwitches.CONTINUATION_SWITCHES,
  ...versionSwitches.VERSION_SWITCHES,
  ...limiterSwitches.LIMITER_SWITCHES,
  ...sharingSwitches.SHARING_SWITCHES,
  ...storeSwitches.STORE_SWITCHES,
  ...soakSwitches.SOAK_SWITCHES,
  ...readingSwitches.READING_SWITCHES,
];

describe("a switch that turns a mechanism off", () => {
  it("finds its line, and that one alone", () => {
    const lost = ALL.filter((s) => {
      const text = fs.readFileSync(new URL(`../src/${s.file}`, import.meta.url), "utf8");
      return text.split(s.find).length !== 2;
    });
    expect(lost.map((s) => s.name)).deep.equal([]);
  });
});
