/** The text of a settings file as the platform writes it, for three nodes on loopback. */
export const settingsText = (overrides: Record<string, unknown> = {}): string =>
  JSON.stringify({
    node: 'node-0',
    zone: 'a',
    api_addr: '127.0.0.1:0',
    back: '127.0.0.1:0',
    seeds: [
      { node: 'node-1', zone: 'a', endpoint: '127.0.0.1:1' },
      { node: 'node-2', zone: 'b', endpoint: '127.0.0.1:2' },
    ],
    outside: { cloud: '127.0.0.1:3', state: '127.0.0.1:4' },
    params: {
      teams: [
        { name: 'blue', cpus: 16, cpus_max: 64, gpus: 0, gpus_max: 0 },
        { name: 'green', cpus: 8, cpus_max: 24, gpus: 2, gpus_max: 4 },
      ],
      objectives: [],
      workers: { report_s: 2, lease_s: 16, cancel_s: 40 },
      state: { rps: 1000, write_rps: 1000, value_kb: 8, txn_ops: 16 },
      cloud: { rps: 100, list_lag_s: 4 },
      quota: { cores: 0.5, mem_mb: 178, max_connections: 500 },
      clock_off_ms: 25,
    },
    ...overrides,
  });
