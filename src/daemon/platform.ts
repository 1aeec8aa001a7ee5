import { createDynamodbTable } from '../adapters/dynamodb/table.js';
import { createEndpointSliceInstances } from '../adapters/endpointslice/instances.js';
import { createS3Objects } from '../adapters/s3/objects.js';
import { type DisposableStore } from '../base/lifecycle.js';
import { type InstancesPort } from '../ports/instances.js';
import { type ObjectPort } from '../ports/objects.js';
import { type TablePort } from '../ports/table.js';
import { type Settings } from './settings/schema.js';

/** Adapters of the platform services; undefined for services that the settings don't name. */
export interface Platform {
  readonly table: TablePort | undefined;
  readonly objects: ObjectPort | undefined;
  readonly instances: InstancesPort | undefined;
}

/** Creates the adapters for the platform services in the settings, without calling the services. */
export function createPlatform(settings: Settings, resources: DisposableStore): Platform {
  const { table, objects, instances } = settings;
  const credentialsOf = (section: Settings['table'] | Settings['objects']) => ({
    region: section.region,
    accessKey: section.access_key,
    secretKey: section.secret_key,
  });
  return {
    table: table.endpoint
      ? resources.add(
          createDynamodbTable({
            ...credentialsOf(table),
            endpoint: table.endpoint,
            tableName: table.name,
          }),
        )
      : undefined,
    objects: objects.endpoint
      ? resources.add(
          createS3Objects({
            ...credentialsOf(objects),
            endpoint: objects.endpoint,
            bucket: objects.bucket,
          }),
        )
      : undefined,
    instances: instances.url
      ? resources.add(createEndpointSliceInstances(instances.url))
      : undefined,
  };
}
