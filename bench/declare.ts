/**
 * Declared objects from a few words, for tests and measurements.
 * @module
 */
import type * as objects from "../src/contract/objects.js";
import * as keys from "../src/link/keys.js";

export const BASE = "base-7b";
const V = "sumacfield/v1";

export const callerKey = (name: string): string => `key-of-${name}`;

export const domain = (name: string, labels = {}): objects.Obj => ({
  apiVersion: V,
  kind: "FailureDomain",
  metadata: { name, labels },
  spec: {},
});

export const host = (name: string, failureDomain: string, labels = {}): objects.Obj => ({
  apiVersion: V,
  kind: "Host",
  metadata: { name, labels },
  spec: { failureDomain },
});

export const engineAt = (
  name: string,
  hostName: string,
  spec: Partial<objects.Endpoint["spec"]> = {},
  labels = {},
): objects.Obj => ({
  apiVersion: V,
  kind: "Endpoint",
  metadata: { name, labels },
  spec: {
    host: hostName,
    serves: "engine",
    baseModel: BASE,
    slots: 4,
    seats: 4,
    fencing: "ignored",
    ...spec,
  },
});

export const serviceAt = (name: string, hostName: string, service: string): objects.Obj => ({
  apiVersion: V,
  kind: "Endpoint",
  metadata: { name, labels: {} },
  spec: { host: hostName, serves: "service", service, slots: 1, seats: 8, fencing: "ignored" },
});

export const adapter = (
  name: string,
  source: string,
  versions: readonly string[] = ["1", "2"],
  current = versions[0] ?? "1",
  labels = {},
): objects.Obj => ({
  apiVersion: V,
  kind: "Adapter",
  metadata: { name, labels },
  spec: {
    baseModel: BASE,
    versions: versions.map((version) => ({ version, source: `${source}/${name}/${version}` })),
    current,
  },
});

export const service = (name: string): objects.Obj => ({
  apiVersion: V,
  kind: "Service",
  metadata: { name, labels: {} },
  spec: { repeatable: ["GET", "HEAD", "OPTIONS"] },
});

export const caller = (name: string, cls = "standard", labels = {}): objects.Obj => ({
  apiVersion: V,
  kind: "Caller",
  metadata: { name, labels },
  spec: { keys: [keys.sha256(callerKey(name))], class: cls },
});

export const grant = (name: string, spec: Partial<objects.Grant["spec"]> = {}): objects.Obj => ({
  apiVersion: V,
  kind: "Grant",
  metadata: { name, labels: {} },
  spec: {
    callers: {},
    limits: {},
    ...(spec.services ? {} : { adapters: {} }),
    ...spec,
  },
});

export const placement = (
  name: string,
  spec: Partial<objects.Placement["spec"]> = {},
): objects.Obj => ({
  apiVersion: V,
  kind: "Placement",
  metadata: { name, labels: {} },
  spec: { endpoints: {}, ...(spec.services ? {} : { adapters: {} }), ...spec },
});
