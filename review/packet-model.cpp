// A finding that is no case (REPORT-3.md): random packets, reports, departures, restarts and memberships at the
// decisions of balancers and agents, without sockets. Prints a line for each seed that ends. Under the
// undefined-behaviour sanitizer some seeds end in flow/FlowSearch.h with a division by zero: no agent is left, and a
// search is still in a pass.
//
//   cmake --preset asan && cmake --build --preset asan && cd build-asan
//   g++ -std=c++20 -g -O1 -fsanitize=address,undefined -fno-sanitize-recover=undefined -I../src -I.. -I. \
//       ../review/packet-model.cpp -o packet-model libyuccahook_platform.a libyuccahook_core.a libyuccahook_schema.a \
//       -Wl,-Bstatic -lcapnp-rpc -lcapnp -lkj-http -lkj-async -lkj -lxxhash -lzstd -Wl,-Bdynamic -lcivetweb -llog4cxx
//   ./packet-model SEED STEPS

#include "flow/PacketAgent.h"
#include "flow/PacketBalancer.h"
#include "flow/PacketEnvelope.h"
#include "platform/PacketFormat.h"
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <random>
using namespace yuccahook;
using namespace yuccahook::flow;
std::mt19937_64 rng;
std::uint64_t R(std::uint64_t n) { return n ? rng() % n : 0; }
std::uint64_t now = 1000000;
struct Dgram {
    int kind;
    PacketEndpoint src, dst;
    std::uint32_t host;
    std::vector<std::uint8_t> b;
};
std::deque<Dgram> net_;
struct Out : PacketOutput {
    PacketEndpoint self;
    int agent = -1;
    void sendToTrunk(const PacketEndpoint& t, PacketBytes d) override
    {
        if (R(100) < 3)
            return;
        net_.push_back({ 0, self, t, 0, { d.begin(), d.end() } });
        if (R(100) < 2)
            net_.push_back({ 0, self, t, 0, { d.begin(), d.end() } });
    }
    void sendToCaller(std::uint32_t h, PacketBytes d) override
    {
        net_.push_back({ 1, self, {}, h, { d.begin(), d.end() } });
    }
    void sendToBackend(PacketBytes d) override { net_.push_back({ 2, self, self, 0, { d.begin(), d.end() } }); }
    void recordDecision(const FlowDecision&) override { }
};
std::vector<std::uint8_t> pkt(std::uint32_t src, std::uint16_t sp, std::uint32_t dst, std::uint16_t dp, int fl,
    std::uint32_t seq, std::uint32_t ack, int len)
{
    std::vector<std::uint8_t> b(32 + len);
    auto w16 = [&](int o, unsigned v) {
        b[o] = v >> 8;
        b[o + 1] = v;
    };
    auto w32 = [&](int o, unsigned v) {
        w16(o, v >> 16);
        w16(o + 2, v & 0xffff);
    };
    w16(4, dp);
    w32(6, dst);
    w16(10, sp);
    w32(12, src);
    w16(16, len);
    b[18] = fl;
    w32(24, seq);
    w32(28, ack);
    return b;
}
int main(int c, char** v)
{
    std::uint64_t seed = c > 1 ? atoll(v[1]) : 1;
    long steps = c > 2 ? atol(v[2]) : 200000;
    rng.seed(seed);
    platform::PacketFormat codec;
    const int NA = 2 + R(14), NB = 1 + R(3);
    std::vector<std::unique_ptr<Out>> ao, bo;
    std::vector<std::unique_ptr<PacketAgent>> A;
    std::vector<std::unique_ptr<PacketBalancer>> B;
    HomeRegions homes(std::map<std::string, std::string> { { "a", "r1" }, { "b", "r2" } });
    auto dom = [&](int i) { return std::string(i % 2 ? "a" : "b"); };
    auto ep = [&](int i) { return PacketEndpoint { 0x0a000001u + i, 7000 }; };
    auto bep = [&](int i) { return PacketEndpoint { 0x0b000001u + i, 7001 }; };
    auto newAgent = [&](int i) {
        PacketAgentLimits l;
        l.detectsOutliers = R(2);
        return std::make_unique<PacketAgent>(dom(i), ep(i), rng(), l, codec, *ao[i], now, homes);
    };
    auto newBal = [&](int i) {
        PacketBalancerOptions o;
        o.linkBytesPerSecond = R(2) ? 0 : R(500000) + 1;
        o.homes = homes;
        o.detectsOutliers = R(2);
        return std::make_unique<PacketBalancer>(dom(i), rng(), codec, *bo[i], o);
    };
    for (int i = 0; i < NA; i++) {
        ao.push_back(std::make_unique<Out>());
        ao[i]->self = ep(i);
        ao[i]->agent = i;
        A.push_back(newAgent(i));
    }
    for (int i = 0; i < NB; i++) {
        bo.push_back(std::make_unique<Out>());
        bo[i]->self = bep(i);
        B.push_back(newBal(i));
    }
    std::uint64_t rev = 0;
    std::uint32_t lastId = 10;
    std::vector<std::uint32_t> id(NA, 0);
    std::vector<int> svc(NA);
    for (auto& s : svc)
        s = R(2);
    auto mk = [&] {
        auto m = std::make_shared<Membership>();
        m->cluster = 1;
        m->revision = ++rev;
        m->hasAllServices = true;
        for (int s = 0; s < 2; s++) {
            ServiceSpec x;
            x.id = s + 1;
            x.name = s ? "s1" : "s0";
            x.protocol = Protocol::Packet;
            if (R(2))
                x.cold = { 2000, double(R(30)) };
            m->services.push_back(x);
        }
        if (R(20) == 0)
            m->services.pop_back();
        std::vector<Member> ms;
        bool none = R(8) == 0;
        for (int i = 0; i < NA && !none; i++)
            if (R(4)) {
                Member x;
                if (!id[i] || R(3) == 0)
                    id[i] = ++lastId;
                x.id = id[i];
                x.agent = "a" + std::to_string(i);
                x.service = svc[i] + 1;
                x.trunk = ep(i).address();
                x.domain = dom(i);
                x.state = R(5) ? MemberState::Ready : MemberState::Draining;
                ms.push_back(x);
            }
        std::sort(ms.begin(), ms.end(), [](auto& a, auto& b) { return a.id < b.id; });
        m->members = ms;
        m->routeVersion = rev;
        m->overload = R(2) ? OverloadPolicy::LeastCost : OverloadPolicy::Goal;
        for (int r = 0; r < 4; r++)
            if (R(5)) {
                PacketRoute p;
                p.address = PacketEndpoint { 0xc6120001u, std::uint16_t(8000 + r) }.address();
                p.name = "r";
                p.targets = { { R(2) ? "s0" : "s1", std::uint32_t(1 + R(3)) } };
                if (R(3) == 0)
                    p.targets.push_back({ R(3) ? "s1" : "gone", std::uint32_t(R(3)) });
                p.latencyGoalMillis = R(3) ? 250 : R(2000);
                p.timeoutMillis = R(3) ? 1500 : R(5000);
                p.priority = R(4);
                if (R(5) == 0)
                    p.homes = { "r1" };
                m->routes.push_back(p);
            }
        std::sort(m->routes.begin(), m->routes.end(), [](auto& a, auto& b) { return a.address < b.address; });
        if (R(3) == 0)
            m->evacuated = { R(2) ? "a" : "b" };
        return m;
    };
    MembershipPointer cur = mk();
    std::vector<std::uint64_t> born(NA, now), seqn(NA, 0);
    std::uint16_t port = 1000;
    struct F {
        std::uint32_t h;
        std::uint16_t p;
        std::uint16_t d;
        std::uint32_t seq, ack;
    };
    std::vector<F> flows;
    for (long i = 0; i < steps; i++) {
        int k = R(1000);
        if (k < 300 && !net_.empty()) {
            auto pos = R(10) ? 0 : R(net_.size());
            auto d = net_[pos];
            net_.erase(net_.begin() + pos);
            if (R(200) == 0 && !d.b.empty())
                d.b[R(d.b.size())] ^= 1 << R(8);
            if (R(300) == 0)
                d.b.resize(R(d.b.size() + 1));
            if (d.kind == 0) {
                for (int a = 0; a < NA; a++)
                    if (ep(a) == d.dst)
                        A[a]->receiveFromTrunk(d.src, d.b, now);
                for (int b = 0; b < NB; b++)
                    if (bep(b) == d.dst)
                        B[b]->receiveFromAgent(d.src, d.b, now);
            } else if (d.kind == 1) {
                if (d.b.size() >= 32 && (d.b[18] & 16)) {
                    auto q = [&](int o) {
                        return unsigned(d.b[o]) << 24 | unsigned(d.b[o + 1]) << 16 | unsigned(d.b[o + 2]) << 8
                            | d.b[o + 3];
                    };
                    for (auto& f : flows)
                        if (f.p == (d.b[4] << 8 | d.b[5]) && f.h == d.host)
                            f.ack = q(24) + 1;
                }
            } else {
                int a = -1;
                for (int x = 0; x < NA; x++)
                    if (ep(x) == d.dst)
                        a = x;
                if (a >= 0 && d.b.size() >= 32) {
                    auto q = [&](int o) {
                        return unsigned(d.b[o]) << 24 | unsigned(d.b[o + 1]) << 16 | unsigned(d.b[o + 2]) << 8
                            | d.b[o + 3];
                    };
                    auto h = [&](int o) { return d.b[o] << 8 | d.b[o + 1]; };
                    int w = R(10);
                    if (w < 6) {
                        auto r
                            = pkt(q(6), h(4), q(12), h(10), (d.b[18] & 16) ? 18 : (R(5) ? 2 : 6) | (R(30) == 0 ? 8 : 0),
                                rng(), q(24) + 1, (d.b[18] & 16) ? 0 : R(1201));
                        A[a]->receiveFromBackend(r, now);
                    } else if (w < 8) {
                        auto r = d.b;
                        r[18] |= 128;
                        A[a]->receiveFromBackend(r, now);
                    }
                }
            }
        } else if (k < 450) {
            F f { 0x64400001u + (unsigned)R(20), port++, std::uint16_t(8000 + R(5)), (unsigned)rng(), 0 };
            flows.push_back(f);
            if (flows.size() > 400)
                flows.erase(flows.begin());
            B[R(NB)]->receiveFromCaller(pkt(f.h, f.p, 0xc6120001u, f.d, 16, f.seq, R(3), 0), now);
        } else if (k < 700 && !flows.empty()) {
            auto& f = flows[R(flows.size())];
            int fl = 2 | (R(10) == 0 ? 4 : 0) | (R(30) == 0 ? 8 : 0) | (R(40) == 0 ? 16 : 0) | (R(60) == 0 ? 128 : 0);
            B[R(NB)]->receiveFromCaller(
                pkt(f.h, f.p, 0xc6120001u, f.d, fl, f.seq + R(3000), f.ack + R(3), R(2) ? R(1201) : 1200), now);
        } else if (k < 850) {
            now += R(25);
        } else if (k < 900) {
            for (auto& a : A)
                a->tick(now);
        } else if (k < 940) {
            for (auto& b : B) {
                b->tick(now, R(10) ? R(1000) : R(5000));
                b->advanceLink(now);
            }
        } else if (k < 975) {
            int a = R(NA);
            BackendReport r;
            r.id = "i" + std::to_string(a * 10 + R(2));
            r.startedMillis = born[a] - (R(20) == 0 ? R(3000) : 0);
            r.sequence = ++seqn[a];
            r.service = R(15) ? (svc[a] ? "s1" : "s0") : (R(2) ? "s0" : "odd");
            r.slots = 1 + R(7);
            r.coldRemainingMillis = R(5) ? 0 : R(4000);
            r.draining = R(20) == 0;
            A[a]->handleReport(r, now);
        } else if (k < 980) {
            int a = R(NA);
            A[a]->handleDeparture("i" + std::to_string(a * 10 + R(2)), R(2) ? 0 : born[a], now);
        } else if (k < 986) {
            int a = R(NA);
            born[a] = now;
            seqn[a] = 0;
        } else if (k < 989) {
            int a = R(NA);
            A[a] = newAgent(a);
        } else if (k < 990) {
            int b = R(NB);
            B[b] = newBal(b);
        } else if (k < 991) {
            A[R(NA)]->drain(now);
        } else if (k < 993) {
            now += R(15000);
        } else {
            if (R(2))
                cur = mk();
            for (auto& a : A)
                if (R(4))
                    a->setMembership(cur, now);
            for (auto& b : B)
                if (R(4))
                    b->setMembership(cur, now);
        }
        if (net_.size() > 3000)
            net_.erase(net_.begin(), net_.begin() + 1500);
        if (R(2000) == 0 && !B.empty())
            B[0]->explainPlacement({ 0xc6120001u, std::uint16_t(8000 + R(5)) }, std::nullopt, now);
    }
    printf("seed %lu ok now %lu\n", (unsigned long)seed, (unsigned long)now);
}
