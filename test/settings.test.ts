/** The platform's settings and the operators' policy: defaults, and errors that name the field. */
import { describe, expect, it } from 'vitest';
import { SettingsError } from '../src/adapters/configuration/configuration-file.js';
import { DEFAULT_POLICY, parsePolicy } from '../src/adapters/configuration/policy.js';
import { parseSettings } from '../src/adapters/configuration/settings.js';
import type { TeamName } from '../src/core/model/ids.js';
import { settingsText } from './stand-ins/settings.js';

describe('parseSettings', () => {
  it('reads the platform’s settings and ignores unknown fields', () => {
    const settings = parseSettings(settingsText({ future: { a: 1 } }));
    expect(settings.peers.map((peer) => peer.node)).toEqual(['node-1', 'node-2']);
    expect(settings.keyValueStoreLimits.maxValueBytes).toBe(8192);
    expect(settings.teams.get('blue' as TeamName)?.cpusMax).toBe(64);
  });

  it.each([
    ['text that is not JSON', '{', /not JSON/],
    ['a missing field', settingsText({ api_addr: undefined }), /api_addr/],
    ['a wrong type', settingsText({ node: 7 }), /node/],
    ['a port out of range', settingsText({ back: '127.0.0.1:70000' }), /back.*HOST:PORT/],
    ['a malformed address', settingsText({ back: 'nowhere' }), /back.*HOST:PORT/],
  ])('rejects %s and names the fault', (_, text, message) => {
    expect(() => parseSettings(text)).toThrow(SettingsError);
    expect(() => parseSettings(text)).toThrow(message);
  });
});

describe('parsePolicy', () => {
  it('keeps the defaults of fields that are not set', () => {
    const policy = parsePolicy('; ours\n(policy (deadline-k 3.5) (age-factor 2))');
    expect(policy).toEqual({ ...DEFAULT_POLICY, deadlineEstimateFactor: 3.5, ageFactor: 2 });
  });

  it.each([
    ['(policy (deadline-k 1))', /deadline-k/],
    ['(policy (age-factor many))', /age-factor/],
    ['(policy (colour 3))', /colour/],
    ['(policy (headroom 1 2))', /headroom/],
    ['(policy (deadline-min 5) (deadline-max 4))', /deadline-max/],
    ['(rules)', /expected/],
    ['(policy', /policy/],
  ])('rejects %s and names the fault', (text, message) => {
    expect(() => parsePolicy(text)).toThrow(SettingsError);
    expect(() => parsePolicy(text)).toThrow(message);
  });
});
