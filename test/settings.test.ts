import { describe, expect, it } from 'vitest';
import { SettingsError } from '../src/adapters/configuration/configuration-file.js';
import { DEFAULT_POLICY, parsePolicy } from '../src/adapters/configuration/policy.js';
import { parseSettings } from '../src/adapters/configuration/settings.js';
import { settingsText } from './stand-ins/settings.js';

describe('settings', () => {
  it('reads what the platform hands over and ignores fields it does not know', () => {
    const settings = parseSettings(settingsText({ future: { a: 1 } }));
    expect(settings.peers.map((p) => p.node)).toEqual(['node-1', 'node-2']);
    expect(settings.stateLimits.valueBytes).toBe(8192);
    expect(settings.teams.get('blue' as never)?.cpusMax).toBe(64);
  });

  it.each([
    ['not json', '{', /not JSON/],
    ['a missing field', settingsText({ api_addr: undefined }), /api_addr/],
    ['a wrong type', settingsText({ node: 7 }), /node/],
    ['a port that cannot be', settingsText({ back: '127.0.0.1:70000' }), /back.*HOST:PORT/],
    ['a bad address', settingsText({ back: 'nowhere' }), /back.*HOST:PORT/],
  ])('names the fault of %s', (_, text, message) => {
    expect(() => parseSettings(text)).toThrow(SettingsError);
    expect(() => parseSettings(text)).toThrow(message);
  });
});

describe('policy', () => {
  it('keeps the defaults for what it does not name', () => {
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
  ])('refuses %s by name', (text, message) => {
    expect(() => parsePolicy(text)).toThrow(SettingsError);
    expect(() => parsePolicy(text)).toThrow(message);
  });
});
