/** Nodes cut off from the key-value store, peers or workers; paused leaders. */
import { afterEach, describe, expect, it, vi } from 'vitest';
import { CloudClient } from '../src/adapters/cloud/cloud-client.js';
import { parseEndpoint } from '../src/adapters/configuration/settings.js';
import type { MachineTypeName, ProvisionRequestId, ZoneName } from '../src/core/model/ids.js';
import type { ProvisionRequest } from '../src/core/model/machine.js';
import type { Controller } from '../src/service/controller.js';
import { Cloud } from './stand-ins/cloud.js';
import {
  type ClusterNode,
  cleanUp,
  cleanups,
  freePort,
  getJob,
  jobBody,
  startCluster,
  until,
} from './stand-ins/cluster.js';
import { requestJson } from './stand-ins/http.js';

afterEach(cleanUp);

describe('an isolated node', () => {
  const leaderOf = (nodes: ClusterNode[]) => nodes.find((n) => n.controller.authority() === 'lead');

  it('without the key-value store hands its workers to the leader that a peer names', async () => {
    // Machines count as silent after four heartbeat intervals: longer than a peer's message takes.
    const { nodes, storeEndpoints, cloud } = await startCluster(3, { heartbeatIntervalS: 0.5 });
    cloud.taskMs = 10_000_000;
    const formerLeader = leaderOf(nodes)!;
    await requestJson(formerLeader.address, '/api/jobs', jobBody('job-31'));
    await until(async () => (await getJob(formerLeader.address, 'job-31'))?.body.running === 3);
    storeEndpoints[nodes.indexOf(formerLeader)]!.isDown = true;
    const successor = await until(() => leaderOf(nodes.filter((n) => n !== formerLeader)));
    // The former leader cannot read the store, so a peer must have sent this.
    await until(
      () => formerLeader.controller.election.leaderNode === `node-${nodes.indexOf(successor)}`,
    );
    expect(formerLeader.controller.authority()).toBe('none');
    await until(async () => (await getJob(successor.address, 'job-31'))?.body.running === 3);
    expect(cloud.starts).toHaveLength(3);
  });

  it('without the key-value store has a peer admit jobs and look up their status', async () => {
    const { nodes, storeEndpoints, state } = await startCluster(3);
    const isolatedNode = nodes.find((n) => n !== leaderOf(nodes))!;
    storeEndpoints[nodes.indexOf(isolatedNode)]!.isDown = true;
    await until(
      async () =>
        (await requestJson(isolatedNode.address, '/api/jobs', jobBody('job-34')))?.status === 201,
    );
    expect(state.keys.has('j/job-34') || state.keys.has('f/job-34')).toBe(true);
    expect((await requestJson(isolatedNode.address, '/api/jobs', jobBody('job-34')))?.status).toBe(
      200,
    );
    expect((await getJob(isolatedNode.address, 'job-34'))?.status).toBe(200);
    expect((await getJob(isolatedNode.address, 'job-35'))?.status).toBe(404);
    expect((await requestJson(isolatedNode.address, '/up', undefined, 'GET'))?.status).toBe(200);
  });

  it('without the key-value store and peers is not ready until the store is back', async () => {
    const { nodes, storeEndpoints } = await startCluster(2);
    nodes[1]!.stop();
    storeEndpoints[0]!.isDown = true;
    const readyStatus = async () =>
      (await requestJson(nodes[0]!.address, '/up', undefined, 'GET'))?.status;
    await until(async () => (await readyStatus()) === 503);
    expect((await requestJson(nodes[0]!.address, '/api/jobs', jobBody('job-36')))?.status).toBe(
      503,
    );
    storeEndpoints[0]!.isDown = false;
    await until(async () => (await readyStatus()) === 200);
    await until(
      async () =>
        (await requestJson(nodes[0]!.address, '/api/jobs', jobBody('job-36')))?.status === 201,
    );
  });

  it('without the key-value store and peers leaves its workers to the next leader', async () => {
    const { nodes, storeEndpoints, cloud } = await startCluster(2, {
      isolatedNode: 0,
      heartbeatIntervalS: 2,
    });
    const [formerLeader, successor] = nodes as [ClusterNode, ClusterNode];
    if (successor.controller.authority() === 'lead') successor.controller.election.resign(2000);
    await until(() => formerLeader.controller.authority() === 'lead');
    cloud.taskMs = 10_000_000;
    // With heartbeats every 2 s, no machine counts as silent before it finds the next leader.
    await until(
      async () =>
        (await requestJson(formerLeader.address, '/api/jobs', jobBody('job-37', { Cpus: 8 })))
          ?.status === 201,
    );
    await until(async () => (await getJob(formerLeader.address, 'job-37'))?.body.running === 3);
    storeEndpoints[0]!.isDown = true;
    await until(() => successor.controller.authority() === 'lead');
    // Well before the 21 s for which a leader may keep workers alive without a lease.
    await until(async () => (await getJob(successor.address, 'job-37'))?.body.running === 3);
    expect(formerLeader.controller.authority()).not.toBe('lead');
    expect(cloud.starts).toHaveLength(3);
  });

  it('without its workers resigns in favour of a peer that gets their heartbeats', async () => {
    const { nodes, cloud } = await startCluster(2);
    const formerLeader = leaderOf(nodes)!;
    const successor = nodes.find((n) => n !== formerLeader)!;
    await requestJson(formerLeader.address, '/api/jobs', jobBody('job-32'));
    await until(async () => (await getJob(formerLeader.address, 'job-32'))?.body.Status === 'done');
    cloud.controllerAddresses[nodes.indexOf(formerLeader)] = `127.0.0.1:${await freePort()}`;
    await until(() => successor.controller.authority() === 'lead');
    await requestJson(formerLeader.address, '/api/jobs', jobBody('job-33'));
    await until(async () => (await getJob(formerLeader.address, 'job-33'))?.body.Status === 'done');
  });
});

/** Private members, by bracket access, so that the compiler checks their names. */
const internalsOf = (controller: Controller) => {
  // biome-ignore lint/complexity/useLiteralKeys: private members are accessible by brackets only
  const leaderTerm = controller['leaderTerm']!;
  // biome-ignore lint/complexity/useLiteralKeys: likewise
  return { leaderTerm, effectRunner: leaderTerm['effectRunner'] };
};

describe('a leader that was paused after a decision', () => {
  it('sends no start decided before, as each reply checks the authority again', async () => {
    const { nodes, cloud } = await startCluster(1);
    const { address, controller } = nodes[0]!;
    const { leaderTerm, effectRunner } = internalsOf(controller);
    let isPaused = false;
    let decidedStarts = 0;
    const authority = leaderTerm.authority.bind(leaderTerm);
    vi.spyOn(leaderTerm, 'authority').mockImplementation(() =>
      isPaused ? 'keep-alive' : authority(),
    );
    const runEffect = effectRunner.run.bind(effectRunner);
    vi.spyOn(effectRunner, 'run').mockImplementation((effect) => {
      runEffect(effect);
      if (effect.kind !== 'reply-to-heartbeat' || !effect.commands?.length || decidedStarts > 0)
        return;
      decidedStarts = effect.commands.length;
      isPaused = true;
    });
    expect((await requestJson(address, '/api/jobs', jobBody('job-1')))?.status).toBe(201);
    await until(() => decidedStarts > 0);
    await new Promise((resolve) => setTimeout(resolve, 300));
    expect(cloud.starts).toEqual([]);
    isPaused = false;
    await until(async () => (await getJob(address, 'job-1'))?.body.Status === 'done');
    expect(new Set(cloud.starts.map((s) => s.split('#')[0])).size).toBe(3);
    expect(cloud.starts).toHaveLength(3);
  });

  it('neither provisions nor deletes machines without authority', async () => {
    const cloud = new Cloud(3);
    cloud.controllerAddresses = ['127.0.0.1:9'];
    cleanups.push(() => cloud.close());
    const client = new CloudClient(parseEndpoint(await cloud.listen()), 100);
    cleanups.push(() => client.close());
    const request: ProvisionRequest = {
      request: 'r-1' as ProvisionRequestId,
      type: 'c8' as MachineTypeName,
      zone: 'a' as ZoneName,
      spot: true,
      count: 2,
    };
    expect(await client.provision(request, () => false)).toEqual({ kind: 'refused' });
    expect(cloud.workers.size).toBe(0);
    const provisioned = await client.provision(request, () => true);
    if (provisioned.kind !== 'provisioned') throw new Error(provisioned.kind);
    const { machines } = provisioned;
    expect(cloud.workers.size).toBe(2);
    expect(await client.deleteMachines(machines, () => false)).toBe(false);
    expect(cloud.workers.size).toBe(2);
    expect(await client.deleteMachines(machines, () => true)).toBe(true);
    expect(cloud.workers.size).toBe(0);
  });
});
