import type {
  AttributeValue,
  DynamoDBClient,
  TransactionCanceledException,
  TransactWriteItem,
} from '@aws-sdk/client-dynamodb';
import { type Disposable } from '../../base/lifecycle.js';
import {
  type TableItem,
  type TableKey,
  type TablePort,
  type TableWrite,
} from '../../ports/table.js';
import { callStore, clientSettings, type StoreEndpoint } from '../storecall.js';

/** Table adapter for the DynamoDB protocol. */
export interface DynamodbTable extends TablePort, Disposable {}

export interface DynamodbTableOptions extends StoreEndpoint {
  /** Name of a table with the string keys `pk` (partition) and `sk` (sort). */
  readonly tableName: string;
}

type Row = Readonly<Record<string, AttributeValue>>;

/** Cancellation reasons that mean a failed condition or a conflict with another transaction. */
const conflictReasons = new Set(['ConditionalCheckFailed', 'TransactionConflict']);

function toRowKey({ partition, sort }: TableKey): Record<string, AttributeValue> {
  return { pk: { S: partition }, sk: { S: sort } };
}

function fromRow(row: Row): TableItem {
  return {
    partition: row.pk?.S ?? '',
    sort: row.sk?.S ?? '',
    version: Number(row.version?.N),
    value: row.value?.S ?? '',
  };
}

function conditionOf({ condition: { version } }: TableWrite) {
  if (version === 0) return { ConditionExpression: 'attribute_not_exists(pk)' };
  return {
    ConditionExpression: '#version = :version',
    ExpressionAttributeNames: { '#version': 'version' },
    ExpressionAttributeValues: { ':version': { N: String(version) } },
  };
}

function toTransactItem(tableName: string, write: TableWrite): TransactWriteItem {
  const common = { TableName: tableName, ...conditionOf(write) };
  const rowKey = toRowKey(write);
  if (write.remove) return { Delete: { ...common, Key: rowKey } };
  if (write.value === undefined) return { ConditionCheck: { ...common, Key: rowKey } };
  const version = { N: String(write.condition.version + 1) };
  return { Put: { ...common, Item: { ...rowKey, version, value: { S: write.value } } } };
}

/** Returns false when the table cancelled the transaction for another reason than a conflict. */
function isConflict(err: TransactionCanceledException): boolean {
  return (err.CancellationReasons ?? []).some(({ Code = '' }) => conflictReasons.has(Code));
}

/** Creates the adapter; the SDK is loaded at the first call. */
export function createDynamodbTable(options: DynamodbTableOptions): DynamodbTable {
  const { tableName } = options;
  let client: DynamoDBClient | undefined;

  const loadClient = async () => {
    const sdk = await import('@aws-sdk/client-dynamodb');
    client ??= new sdk.DynamoDBClient(clientSettings(options));
    return { sdk, db: client };
  };

  return {
    async get(key, token) {
      const { sdk, db } = await loadClient();
      const command = new sdk.GetItemCommand({
        TableName: tableName,
        Key: toRowKey(key),
        ConsistentRead: true,
      });
      const reply = await callStore('read', token, (abortSignal) =>
        db.send(command, { abortSignal }),
      );
      return reply.Item && fromRow(reply.Item);
    },
    async query(partition, after, limit, token) {
      const { sdk, db } = await loadClient();
      const items: TableItem[] = [];
      let startKey: Record<string, AttributeValue> | undefined;
      do {
        // DynamoDB doesn't compare a key attribute with an empty string.
        const hasAfter = after !== '';
        const command = new sdk.QueryCommand({
          TableName: tableName,
          ConsistentRead: true,
          Limit: limit - items.length,
          KeyConditionExpression: hasAfter ? 'pk = :pk AND sk > :after' : 'pk = :pk',
          ExpressionAttributeValues: {
            ':pk': { S: partition },
            ...(hasAfter && { ':after': { S: after } }),
          },
          ExclusiveStartKey: startKey,
        });
        const reply = await callStore('read', token, (abortSignal) =>
          db.send(command, { abortSignal }),
        );
        items.push(...(reply.Items ?? []).map(fromRow));
        startKey = reply.LastEvaluatedKey;
      } while (startKey && items.length < limit);
      return items;
    },
    async transact(writes, token) {
      const { sdk, db } = await loadClient();
      const command = new sdk.TransactWriteItemsCommand({
        TransactItems: writes.map((write) => toTransactItem(tableName, write)),
      });
      return callStore('write', token, async (abortSignal) => {
        try {
          await db.send(command, { abortSignal });
          return 'committed' as const;
        } catch (err) {
          if (err instanceof sdk.TransactionCanceledException && isConflict(err)) {
            return 'conflict' as const;
          }
          throw err;
        }
      });
    },
    dispose() {
      client?.destroy();
    },
  };
}
