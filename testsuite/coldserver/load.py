"""Clients of the case of cold servers. Usage: load.py FRONT[,FRONT...] RATE SECONDS. Sends calls at this rate per second, each on
a new connection to one of the instances in turn, and prints the number of answers by status as a JSON object."""

import asyncio
import json
import sys
import time


async def call(front, attempt, statuses):
    host, port = front.split(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write((f"GET /plain/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: 2000\r\n"
                      "Authorization: Bearer key\r\nConnection: close\r\n\r\n").encode())
        status = (await reader.read()).decode().split(" ")[1]
        writer.close()
    except (ConnectionError, IndexError):
        status = "lost"
    statuses[status] = statuses.get(status, 0) + 1


async def main(fronts, rate, duration):
    statuses, tasks, count, begin = {}, [], 0, time.monotonic()
    while time.monotonic() < begin + duration:
        tasks.append(asyncio.create_task(call(fronts[count % len(fronts)], f"c{count}", statuses)))
        count += 1
        await asyncio.sleep(max(begin + count / rate - time.monotonic(), 0))
    await asyncio.gather(*tasks)
    print(json.dumps({"sent": count, **statuses}))


asyncio.run(main(sys.argv[1].split(","), float(sys.argv[2]), float(sys.argv[3])))
