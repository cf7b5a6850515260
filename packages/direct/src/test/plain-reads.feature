Feature: reads at plain servers

  Scenario Outline: few servers that are slow for moments, shared by many entries
    Guards against callers of reads that wait for a slow server or behind a queue, while another server has room.
    30 entries, 3 servers of 6 slots, each 2.5 times slower for 600 ms in 15 of 100 times; target 388 ms, mean service time 86 ms.
    When <rate> requests a second are played, <bookings> in 100 bookings are in time in each case
    Then at least <fewer> in 100 fewer reads are late with a second server than without, and the wait that one in a hundred exceeds is shorter
    And fewer reads are late than if a read were withdrawn from its first server
    And at most a tenth of the reads are sent twice

    Examples:
      | rate | bookings | fewer |
      | 80   | 97       | 25    |
      | 110  | 97       | 25    |
      | 140  | 95       | 10    |

  Scenario: entries that exchange their open requests
    Guards against an exchange that costs messages and serves callers worse: entries that know the same loads of 200 ms ago all choose the same server.
    When 110 requests a second are played by entries that know the load of 200 ms ago
    Then more reads and bookings are late than if each entry counts its own alone

  Scenario: measured times
    Then no read is overdue before 20 requests of its route or its service are measured
    And a read is overdue when nine in ten have their answers, and not before a second server would typically need the rest of the target
    And no read is overdue when hardly any could be answered within the rest of the target

  Scenario: a failing server while reads are overdue
    Guards against requests that fail for lack of a retry, since reads that would be answered anyway have spent the budget.
    Then overdue reads use half of an entry's retries at most, and requests that failed can use the rest

  Scenario: an entry's link is cut
    Guards against reads that an entry sends again over its own broken link.
    Then the link is suspected when reads are overdue at most of the servers, and no longer once they have ended
