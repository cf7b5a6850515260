Feature: `hazelford report` shows what requests waited for, from logs alone

  Scenario: waiting times, refusals, loads and holders of engines
    Given logs of two entries, in which a draft waited for its adapter and one was refused
    When the load is reported
    Then the report gives the waiting times by part, the cause of the refusal, the loads by origin and the engines by holder

  Scenario: a span of time
    Given logs of two entries, in which a draft waited for its adapter and one was refused
    When the load of the first second is reported
    Then the report leaves out later lines

  Scenario: a page with plots
    Given logs of two entries, in which a draft waited for its adapter and one was refused
    When the load is reported as a page
    Then the page has a bar for each end of a request and loads nothing from elsewhere

  Scenario: a request that is lost at several upstreams
    Given logs of two entries, in which 3 engines terminate while running attempts at one request, and each loses another request too
    When the load is reported
    Then the report names that request alone, with its route, its adapter and the 3 engines

  Scenario: a prompt part that is lost at several upstreams
    Given logs of two entries, in which 3 engines terminate while running different requests with one prompt part, and one with its first part is answered
    When the load is reported
    Then the report names that part first, with 3 engines and no answer, and then the first part with its answer

  Scenario: requests of organisations
    Given logs in which "north" has one answer and two requests over its limit, and a caller uses a withdrawn key
    When the load is reported
    Then the report gives each organisation's requests, and the digest of the withdrawn key

  Scenario: answers cut, and requests whose upstream fell silent
    Guards against requests that an entry cut, or that a silent upstream held up, going unseen.
    Given logs in which two answers are cut for one cause, and of 4 requests with a silent upstream two are continued by it, one is taken over and one fails
    When the load is reported
    Then the report counts the cut answers by cause, one of them of an entry that stood still, and how the silent requests went on

  Scenario: requests that were taken and have no end
    Guards against requests without an answer that nobody finds, since no line says that they ended.
    Given logs of entries that were killed, stopped, or go on, each with a request that has no end, and 30 more such requests
    When the load is reported
    Then the report lists 20 of these requests with their last line and what their entry did then, and says how many it leaves out
